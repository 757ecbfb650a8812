#include "platform/worker_answers.h"

#include "base/log.h"
#include "platform/json_fields.h"

#include <limits>

namespace yuccawheel::platform
{

namespace
{

using std::chrono::milliseconds;
using workflow::OrderOutcome;

constexpr std::size_t MaxListedEnds = 500; ///< Workers list no more ends at a time.
constexpr std::size_t MaxCheckpointBytes = std::size_t{64} * 1024; ///< The run of a longer one starts from scratch.

OrderOutcome parseOutcome(int status, const Json &body)
{
    switch (status) {
    case 200:
        return OrderOutcome::Done;
    case 421:
        return OrderOutcome::OtherIncarnation;
    case 429:
    case 503:
        return OrderOutcome::Unhealthy;
    case 409: {
        const std::string reason = textField(body, "reason");
        return reason == "fence" ? OrderOutcome::StaleFence
            : reason == "old"    ? OrderOutcome::OldRun
            : reason == "late"   ? OrderOutcome::TooLate
            : reason == "room"   ? OrderOutcome::NoRoom
            : reason == "ticket" ? OrderOutcome::NoTicket
                                 : OrderOutcome::Malformed;
    }
    case 400:
        return OrderOutcome::Malformed;
    default:
        return OrderOutcome::NoAnswer;
    }
}

std::optional<milliseconds> parseClock(const Json &body)
{
    return body.contains("clock_ms") ? std::optional(timeField(body, "clock_ms")) : std::nullopt;
}

Json parseBody(const http::ClientResponse &response)
{
    return response.body.empty() ? Json::object() : parseObject(response.body);
}

std::optional<workflow::RunOutcome> parseRunOutcome(const std::string &text)
{
    using workflow::RunOutcome;
    for (const RunOutcome outcome : {RunOutcome::Done,
                                     RunOutcome::Failed,
                                     RunOutcome::Stopped,
                                     RunOutcome::LeaseExpired,
                                     RunOutcome::GangBroken,
                                     RunOutcome::GangIncomplete}) {
        if (toString(outcome) == text) {
            return outcome;
        }
    }
    return std::nullopt;
}

const Json &cellAt(const Json &row, std::size_t position)
{
    if (!row.is_array() || row.size() <= position) {
        throw FormatError("a row has too few columns");
    }
    return row[position];
}

std::string textAt(const Json &row, std::size_t position)
{
    const Json &cell = cellAt(row, position);
    if (!cell.is_string()) {
        throw FormatError("a column of a row is not a string");
    }
    return cell.get<std::string>();
}

template <typename Number>
Number numberAt(const Json &row, std::size_t position)
{
    const Json &cell = cellAt(row, position);
    if (!cell.is_number_unsigned() || cell.get<std::uint64_t>() > std::numeric_limits<Number>::max()) {
        throw FormatError("a column of a row is not a number within its range");
    }
    return cell.get<Number>();
}

// A checkpoint is part of a log entry, whose size is limited.
std::string checkpointAt(const Json &row, std::size_t position)
{
    std::string checkpoint = row.size() > position ? textAt(row, position) : std::string();
    return checkpoint.size() <= MaxCheckpointBytes ? checkpoint : std::string();
}

// Columns: task, run, checkpoint, percent.
workflow::RunningTask decodeRunning(const Json &row)
{
    return {textAt(row, 0),
            numberAt<std::uint32_t>(row, 1),
            checkpointAt(row, 2),
            row.size() > 3 && row[3].is_number_unsigned() ? numberAt<std::uint32_t>(row, 3) : 0};
}

// Columns: number, task, run, outcome, checkpoint.
workflow::EndedTask decodeEnded(const Json &row)
{
    const auto outcome = parseRunOutcome(textAt(row, 3));
    if (!outcome) {
        throw FormatError("a row has an unknown outcome");
    }
    return {numberAt<std::uint64_t>(row, 0),
            textAt(row, 1),
            numberAt<std::uint32_t>(row, 2),
            *outcome,
            checkpointAt(row, 4)};
}

std::pair<std::string, std::string> decodeEligibleWorker(const Json &row)
{
    return {textAt(row, 0), textAt(row, 1)};
}

// Appends the rows of a list that can be read. Returns whether all could; logs the first one that couldn't.
template <typename Row>
bool decodeRows(const Json &body,
                const char *name,
                const std::string &sender,
                Row (*decodeRow)(const Json &),
                std::vector<Row> &rows)
{
    std::size_t unreadable = 0;
    std::string reason;
    for (const Json &row : arrayField(body, name)) {
        try {
            rows.push_back(decodeRow(row));
        } catch (const FormatError &error) {
            if (unreadable++ == 0) {
                reason = error.what();
            }
        }
    }
    if (unreadable > 0) {
        base::logWarning("rows_unreadable")
            .with("sender", sender)
            .with("list", name)
            .with("rows", unreadable)
            .with("reason", reason);
    }
    return unreadable == 0;
}

} // namespace

// An unreadable answer leaves the outcome of the order unknown: the default outcome is `NoAnswer`.
workflow::OrderAnswer parseOrderAnswer(const std::string &worker,
                                       const tl::expected<http::ClientResponse, http::CallError> &answer)
{
    if (!answer) {
        const http::CallTiming &timing = answer.error().timing;
        base::logInfo("order_unanswered")
            .with("worker", worker)
            .with("reason", answer.error().text)
            .with("sent_after_ms", timing.sentAfter ? timing.sentAfter->count() : -1)
            .with("ended_after_ms", timing.endedAfter.count());
        const bool mayHaveArrived = answer.error().verdict != base::Verdict::NotRun;
        return {OrderOutcome::NoAnswer, std::nullopt, timing.sentAfter, mayHaveArrived && !answer.error().timedOut};
    }
    try {
        const Json body = parseBody(*answer);
        return {parseOutcome(answer->status, body), parseClock(body), answer->timing.sentAfter};
    } catch (const FormatError &error) {
        base::logWarning("order_answer_unreadable").with("worker", worker).with("reason", error.what());
        return {};
    }
}

workflow::PollAnswer parsePollAnswer(const std::string &worker,
                                     std::uint64_t number,
                                     const tl::expected<http::ClientResponse, http::CallError> &answer)
{
    workflow::PollAnswer pollAnswer;
    pollAnswer.number = number;
    if (!answer) {
        base::logInfo("worker_poll_unanswered").with("worker", worker).with("reason", answer.error().text);
        return pollAnswer;
    }
    try {
        const Json body = parseBody(*answer);
        pollAnswer.clock = parseClock(body);
        const OrderOutcome outcome = parseOutcome(answer->status, body);
        if (outcome == OrderOutcome::Done) {
            pollAnswer.born = timeField(body, "born").count();
            const bool running = decodeRows(body, "running", worker, decodeRunning, pollAnswer.running);
            const bool ended = decodeRows(body, "ended", worker, decodeEnded, pollAnswer.ended);
            const bool isCut = arrayField(body, "ended").size() >= MaxListedEnds;
            pollAnswer.areAllEndsListed = !isCut && body.contains("ended");
            pollAnswer.isComplete = running && ended && pollAnswer.areAllEndsListed && body.contains("running");
        }
        pollAnswer.outcome = outcome;
    } catch (const FormatError &error) {
        base::logWarning("worker_poll_unreadable").with("worker", worker).with("reason", error.what());
        pollAnswer = {};
        pollAnswer.number = number;
    }
    return pollAnswer;
}

workflow::EligibilityRows parseEligibilityAnswer(const std::string &step,
                                                 const tl::expected<http::ClientResponse, http::CallError> &answer)
{
    if (!answer || answer->status != 200) {
        base::logInfo("eligibility_refused")
            .with("step", step)
            .with("reason", answer ? std::to_string(answer->status) : answer.error().text);
        return std::nullopt;
    }
    try {
        workflow::EligibilityRows rows(std::in_place);
        decodeRows(parseObject(answer->body), "good", step, decodeEligibleWorker, *rows);
        return rows;
    } catch (const FormatError &error) {
        base::logWarning("eligibility_unreadable").with("step", step).with("reason", error.what());
        return std::nullopt;
    }
}

} // namespace yuccawheel::platform
