#include "log_key_store.h"

#include "protocol/messages.h"
#include "protocol/routing_messages.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <charconv>

namespace yuccawheel::entry
{

namespace
{

constexpr std::chrono::milliseconds MaxReservationTimeout{5'000};
constexpr std::chrono::milliseconds FinishTimeout{10'000};

routing::KeyReply toReply(const protocol::ReserveKeyReply &reserved)
{
    routing::KeyReply reply;
    reply.verdict = reserved.verdict;
    switch (reserved.outcome) {
    case protocol::KeyOutcome::Granted:
        reply.status = routing::KeyStatus::Granted;
        break;
    case protocol::KeyOutcome::Duplicate:
        reply.status = routing::KeyStatus::Duplicate;
        break;
    case protocol::KeyOutcome::Conflict:
        reply.status = routing::KeyStatus::Conflict;
        break;
    case protocol::KeyOutcome::Refused:
        reply.status = routing::KeyStatus::Refused;
        break;
    }
    if (!reserved.answer.empty()) {
        if (auto answer = protocol::decode<routing::StoredAnswer>(reserved.answer)) {
            reply.answer = std::move(*answer);
        }
    }
    return reply;
}

} // namespace

std::optional<CallerKey> parseCallerKey(std::string_view key)
{
    std::int64_t seconds = 0;
    const char *const end = key.data() + key.size();
    const auto [next, error] = std::from_chars(key.data(), end, seconds);
    constexpr std::int64_t MaxSeconds = 1LL << 40U;
    if (error != std::errc() || next == end || *next != '-' || next + 1 == end || seconds < 0 || seconds > MaxSeconds) {
        return std::nullopt;
    }
    return CallerKey{std::chrono::seconds(seconds), std::string(next + 1, end)};
}

LogKeyStore::LogKeyStore(boost::asio::io_context &io, store::StoreClient &store) : io_(io), store_(store)
{
}

// A reservation whose answer is lost may have been committed, so the request is not dispatched, neither now nor when it
// is resent.
void LogKeyStore::reserve(const routing::KeyReservation &reservation, Reply reply)
{
    const auto key = parseCallerKey(reservation.key);
    if (!key) {
        reply({routing::KeyStatus::Refused, base::Verdict::NotRun, std::nullopt});
        return;
    }
    const auto timeout =
        std::min(MaxReservationTimeout, std::chrono::duration_cast<std::chrono::milliseconds>(reservation.timeout));
    const protocol::ReserveKey request{key->issuedAt, key->uniqueId, reservation.digest};
    boost::asio::post(io_, [this, request, timeout, reply = std::move(reply)] {
        store_.request(
            request, timeout, [reply](const auto &answer) { reply(answer ? toReply(*answer) : routing::KeyReply{}); });
    });
}

void LogKeyStore::finish(const routing::KeyOutcome &outcome)
{
    const auto key = parseCallerKey(outcome.key);
    if (!key) {
        return;
    }
    const std::string answer = outcome.answer ? protocol::encode(*outcome.answer) : std::string();
    const protocol::FinishKey request{key->issuedAt, key->uniqueId, outcome.verdict, answer};
    // If the outcome is lost, the key keeps the verdict "may have run", which is always safe.
    boost::asio::post(io_, [this, request] { store_.request(request, FinishTimeout, [](const auto &) {}); });
}

} // namespace yuccawheel::entry
