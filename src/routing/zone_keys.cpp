#include "routing/zone_keys.h"

#include "base/invariant.h"
#include "routing/rendezvous.h"

#include <fmt/core.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace yuccawheel::routing
{

namespace
{

constexpr int Hexadecimal = 16;

// Parses a canonical hexadecimal number up to a colon or the end, and removes number and colon from the text.
std::optional<std::uint64_t> consumeHexNumber(std::string_view &text)
{
    const auto colon = std::min(text.find(':'), text.size());
    std::uint64_t value = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + colon, value, Hexadecimal);
    if (status != std::errc() || end != text.data() + colon || fmt::format("{:x}", value) != text.substr(0, colon)) {
        return std::nullopt;
    }
    text.remove_prefix(std::min(colon + 1, text.size()));
    return value;
}

} // namespace

ZoneKeys::ZoneKeys(ZoneKeysOptions options, base::TimePoint now)
    : options_(std::move(options))
    , startedAt_(now)
    , ownRecords_(options_.table)
    , replicaRecords_(options_.table)
{
    YW_INVARIANT(options_.table.retention >= options_.firstUseLimit,
                 "records are retained at least until keys are too old for a first use");
}

std::string ZoneKeys::issue(base::TimePoint now)
{
    const auto issued = static_cast<std::uint64_t>((now - startedAt_) / std::chrono::milliseconds(1));
    return fmt::format(
        "{}-{}:{:x}:{:x}:{:x}", options_.zone, options_.entry, options_.incarnation, issued, ++lastIssued_);
}

std::optional<IssuedKey> ZoneKeys::parse(std::string_view key) const
{
    for (const EntryInfo &entry : options_.entries) {
        const std::string prefix = fmt::format("{}-{}:", entry.zone, entry.entry);
        if (!key.starts_with(prefix)) {
            continue;
        }
        std::string_view rest = key.substr(prefix.size());
        const auto incarnation = consumeHexNumber(rest);
        const auto issued = incarnation ? consumeHexNumber(rest) : std::nullopt;
        const auto number = issued ? consumeHexNumber(rest) : std::nullopt;
        const bool wellFormed = number && rest.empty() && !key.ends_with(':') && *issued < (std::uint64_t{1} << 40U);
        if (wellFormed) {
            return IssuedKey{entry.entry, *incarnation, std::chrono::milliseconds(*issued), *number};
        }
    }
    return std::nullopt;
}

void ZoneKeys::reserve(std::uint64_t number, const KeyReservation &reservation, base::TimePoint now)
{
    const auto issued = parse(reservation.key);
    if (!issued) {
        addDecision(number, {});
        return;
    }
    if (isDecidedHere(*issued)) {
        addDecision(number, decide(*issued, reservation, KeyHolder{options_.entry, number}, now));
        return;
    }
    Pending &pending = pending_[number];
    pending.reservation = reservation;
    if (issued->entry == options_.entry) {
        queryReplica(number, pending, *issued, now);
        return;
    }
    pending.queriedEntry = issued->entry;
    pending.timeoutAt = now + options_.replyTimeout;
    KeyMessage &message = send(KeyMessageKind::Reserve, issued->entry, number, reservation.key);
    message.digest = reservation.digest;
    message.timeout = reservation.timeout;
}

// Without a record there was no attempt, unless the key is so old that its record may have been removed.
KeyReply ZoneKeys::decide(const IssuedKey &issued,
                          const KeyReservation &reservation,
                          const KeyHolder &holder,
                          base::TimePoint now)
{
    if (issued.number == 0 || issued.number > lastIssued_ || startedAt_ + issued.issuedAt > now) {
        return {KeyStatus::Conflict, base::Verdict::NotRun, std::nullopt};
    }
    KeyReply known = ownRecords_.find(reservation.key, reservation.digest);
    if (known.status == KeyStatus::Unreachable && now >= startedAt_ + issued.issuedAt + options_.firstUseLimit) {
        return known;
    }
    return ownRecords_.reserve(reservation.key, reservation.digest, holder, now + reservation.timeout, now);
}

// The replica only has outcomes of finished attempts, so a missing record does not prove that there was no attempt.
void ZoneKeys::queryReplica(std::uint64_t number, Pending &pending, const IssuedKey &issued, base::TimePoint now)
{
    if (!pending.queriedEntry.empty()) {
        abandonedRequests_[number] = now + options_.table.retention;
    }
    const std::string replica = replicaOf(pending.reservation.key, issued.entry);
    if (replica.empty() || replica == options_.entry) {
        const KeyReply reply = replicaRecords_.find(pending.reservation.key, pending.reservation.digest);
        pending_.erase(number);
        addDecision(number, reply);
        return;
    }
    pending.queriedIssuer = false;
    pending.queriedEntry = replica;
    pending.timeoutAt = now + options_.replyTimeout;
    send(KeyMessageKind::Lookup, replica, number, pending.reservation.key).digest = pending.reservation.digest;
}

void ZoneKeys::addDecision(std::uint64_t number, KeyReply reply)
{
    decisions_.push_back(KeyDecision{number, std::move(reply)});
}

void ZoneKeys::finish(std::uint64_t number, const KeyOutcome &outcome, base::TimePoint now)
{
    const auto issued = parse(outcome.key);
    if (!issued) {
        return;
    }
    if (isDecidedHere(*issued)) {
        recordOutcome(outcome, KeyHolder{options_.entry, number}, now);
        return;
    }
    KeyMessage &message = send(KeyMessageKind::Finish, issued->entry, number, outcome.key);
    message.verdict = outcome.verdict;
    message.answer = outcome.answer;
    unacknowledged_[number] = Unacknowledged{message, now + options_.finishRetryInterval, options_.finishAttempts};
}

void ZoneKeys::recordOutcome(const KeyOutcome &outcome, const KeyHolder &holder, base::TimePoint now)
{
    const std::uint64_t digest = ownRecords_.digestOf(outcome.key);
    const std::string replica = replicaOf(outcome.key, options_.entry);
    if (!ownRecords_.finish(outcome, holder, now) || replica.empty() || outcome.verdict == base::Verdict::NotRun) {
        return;
    }
    KeyMessage &message = send(KeyMessageKind::Copy, replica, 0, outcome.key);
    message.digest = digest;
    message.verdict = outcome.verdict;
    message.answer = outcome.answer;
}

void ZoneKeys::handle(const KeyMessage &message, base::TimePoint now)
{
    switch (message.kind) {
    case KeyMessageKind::Reserve:
        handleReserve(message, now);
        break;
    case KeyMessageKind::Lookup: {
        const KeyReply reply = replicaRecords_.find(message.key, message.digest);
        KeyMessage &answer = send(KeyMessageKind::Reply, message.from, message.number, message.key);
        answer.status = reply.status;
        answer.verdict = reply.verdict;
        answer.answer = reply.answer;
        break;
    }
    case KeyMessageKind::Reply:
        handleReply(message, now);
        break;
    case KeyMessageKind::Finish:
        recordOutcome(KeyOutcome{message.key, message.verdict, message.answer}, {message.from, message.number}, now);
        send(KeyMessageKind::FinishAck, message.from, message.number, message.key);
        break;
    case KeyMessageKind::FinishAck:
        unacknowledged_.erase(message.number);
        break;
    case KeyMessageKind::Copy:
        replicaRecords_.addReplicated(KeyOutcome{message.key, message.verdict, message.answer}, message.digest, now);
        break;
    }
}

// Keys issued by a previous process of this entry can't be decided: their records are lost.
void ZoneKeys::handleReserve(const KeyMessage &message, base::TimePoint now)
{
    const auto issued = parse(message.key);
    KeyReply reply;
    if (issued && isDecidedHere(*issued)) {
        const KeyReservation reservation{message.key, message.digest, message.timeout};
        reply = decide(*issued, reservation, KeyHolder{message.from, message.number}, now);
    }
    KeyMessage &answer = send(KeyMessageKind::Reply, message.from, message.number, message.key);
    answer.status = reply.status;
    answer.verdict = reply.verdict;
    answer.answer = std::move(reply.answer);
}

// A grant that arrives after the timeout is released, since nothing was dispatched with it. A duplicate of a used grant
// is not: releasing it would free the key while its attempt runs.
void ZoneKeys::handleReply(const KeyMessage &message, base::TimePoint now)
{
    const auto found = pending_.find(message.number);
    const bool expected = found != pending_.end() && found->second.queriedEntry == message.from;
    if (!expected) {
        if (message.status == KeyStatus::Granted && abandonedRequests_.contains(message.number)) {
            finish(message.number, KeyOutcome{message.key, base::Verdict::NotRun, std::nullopt}, now);
        }
        return;
    }
    if (message.status == KeyStatus::Unreachable && found->second.queriedIssuer) {
        queryReplica(message.number, found->second, *parse(message.key), now);
        return;
    }
    pending_.erase(found);
    addDecision(message.number, KeyReply{message.status, message.verdict, message.answer});
}

void ZoneKeys::tick(base::TimePoint now)
{
    std::vector<std::uint64_t> late;
    for (const auto &[number, pending] : pending_) {
        if (pending.timeoutAt <= now) {
            late.push_back(number);
        }
    }
    for (const std::uint64_t number : late) {
        Pending &pending = pending_.at(number);
        if (pending.queriedIssuer) {
            queryReplica(number, pending, *parse(pending.reservation.key), now);
        } else {
            pending_.erase(number);
            addDecision(number, {});
        }
    }
    for (auto entry = unacknowledged_.begin(); entry != unacknowledged_.end();) {
        Unacknowledged &waiting = entry->second;
        if (waiting.nextAt <= now) {
            messages_.push_back(waiting.message);
            waiting.nextAt = now + options_.finishRetryInterval;
            --waiting.attemptsLeft;
        }
        entry = waiting.attemptsLeft == 0 ? unacknowledged_.erase(entry) : std::next(entry);
    }
    std::erase_if(abandonedRequests_, [now](const auto &entry) { return entry.second <= now; });
    ownRecords_.expire(now);
    replicaRecords_.expire(now);
}

std::vector<KeyMessage> ZoneKeys::takeMessages()
{
    return std::exchange(messages_, {});
}

std::vector<KeyDecision> ZoneKeys::takeDecisions()
{
    return std::exchange(decisions_, {});
}

std::string ZoneKeys::replicaOf(std::string_view key, const std::string &issuer) const
{
    const auto home = std::find_if(options_.entries.begin(), options_.entries.end(), [&](const EntryInfo &entry) {
        return entry.entry == issuer;
    });
    std::vector<std::string> others;
    for (const EntryInfo &entry : options_.entries) {
        if (home != options_.entries.end() && entry.zone == home->zone && entry.entry != issuer) {
            others.push_back(entry.entry);
        }
    }
    return others.empty() ? std::string() : rendezvousOrder(key, std::move(others)).front();
}

bool ZoneKeys::isDecidedHere(const IssuedKey &issued) const
{
    return issued.entry == options_.entry && issued.incarnation == options_.incarnation;
}

KeyMessage &ZoneKeys::send(KeyMessageKind kind, const std::string &to, std::uint64_t number, std::string_view key)
{
    KeyMessage &message = messages_.emplace_back();
    message.kind = kind;
    message.to = to;
    message.from = options_.entry;
    message.number = number;
    message.key = key;
    return message;
}

} // namespace yuccawheel::routing
