// Fuzzes what the platform, its workers and its callers send. The first line of the input names the kind of message,
// the rest is its body. A message is refused or decoded into one within the limits; an unreadable row does not hide
// others.

#include "fuzz/target.h"
#include "platform/job_format.h"
#include "platform/json_fields.h"
#include "platform/worker_answers.h"
#include "workflow/log_entry.h"
#include "workflow/objective.h"
#include "workflow/state.h"
#include "workflow/worker_lease.h"

#include <chrono>
#include <string>

using namespace yuccawheel;

namespace
{

const workflow::JobKey Key = 1;

void checkReport(std::string_view body)
{
    const workflow::WorkerReport report = platform::decodeReport("i-1", body);
    fuzz::require(report.worker.capacity.isNonNegative() && report.worker.born >= 0);
    workflow::WorkerLease lease;
    const base::TimePoint now{std::chrono::hours(1)};
    lease.observeClock(report.clock, now);
    lease.recordGrant(*lease.readingAfter(std::chrono::seconds(10), now));
    fuzz::require(lease.expiresBy() > now && lease.expiresBy() < now + std::chrono::minutes(1));
    fuzz::require(workflow::decodeEntry(workflow::encodeEntry(workflow::WorkerJoinedEntry{report.worker})).has_value());
}

// The id of a report comes from its path. One that is accepted can be written as it is.
void checkId(std::string_view id)
{
    const workflow::WorkerReport report = platform::decodeFinalReport(std::string(id), {});
    fuzz::require(platform::Json::parse(platform::encodeJson(report.worker.id)) == id);
}

void checkJob(std::string_view body, const workflow::QueuePolicy &policy)
{
    workflow::JobSpec spec = platform::decodeJob(body);
    if (workflow::findFault(spec)) {
        return;
    }
    workflow::State state;
    std::vector<workflow::StateEvent> events;
    state.apply(workflow::AcceptEntry{Key, std::move(spec), policy, {}}, events);
    const workflow::JobRecord &job = *state.findJob(Key);
    const base::TimePoint now{std::chrono::hours(1)};
    for (std::size_t position = 0; position < job.steps.size(); ++position) {
        static_cast<void>(workflow::rankOf(Key, job, position, state.runTimes(), now, now));
    }
    fuzz::require(workflow::State::restore(state.snapshot()).has_value());
}

void checkConfiguration(std::string_view body)
{
    const workflow::Configuration configuration = platform::decodeConfiguration(body);
    if (workflow::findFault(configuration)) {
        return;
    }
    for (const workflow::QueueRoute &route : configuration.routes) {
        fuzz::require(route.timeout.count() > 0);
        checkJob(R"({"steps":[{"count":2,"cpu":500,"estimated_ms":31536000000}]})", route.policy);
    }
}

// An answer that can't be read lists no ends, so that none is acknowledged.
void checkRuns(std::string_view body)
{
    const auto answer = platform::parsePollAnswer("i-1", 1, http::ClientResponse{200, {}, std::string(body), {}, {}});
    fuzz::require(answer.outcome == workflow::OrderOutcome::Done || answer.ended.empty());
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view input = fuzz::view(data, size);
    const std::string_view kind = input.substr(0, input.find('\n'));
    const std::string_view body = input.substr(std::min(input.size(), kind.size() + 1));
    const http::ClientResponse response{200, {}, std::string(body), {}, {}};
    try {
        if (kind == "report") {
            checkReport(body);
        } else if (kind == "id") {
            checkId(body);
        } else if (kind == "job") {
            checkJob(body, {});
        } else if (kind == "configuration") {
            checkConfiguration(body);
        } else if (kind == "runs") {
            checkRuns(body);
        } else if (kind == "eligibility") {
            static_cast<void>(platform::parseEligibilityAnswer("1.0.0", response));
        } else {
            static_cast<void>(platform::parseOrderAnswer("i-1", response));
        }
    } catch (const platform::FormatError &) { // NOLINT(bugprone-empty-catch): the message is refused
    }
    return 0;
}
