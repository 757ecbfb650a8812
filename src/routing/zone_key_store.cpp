#include "routing/zone_key_store.h"

#include "base/clock.h"

#include <utility>

namespace yuccawheel::routing
{

namespace
{
/// Places the incarnation above the request counter, so that numbers are unique across restarts.
constexpr unsigned IncarnationShift = 24;
} // namespace

ZoneKeyStore::ZoneKeyStore(const ZoneKeysOptions &options, std::shared_ptr<KeyStore> callerKeys, MessageSink sink)
    : keys_(options, base::BootClock::now())
    , callerKeys_(std::move(callerKeys))
    , sink_(std::move(sink))
    , nextNumber_(options.incarnation << IncarnationShift)
{
}

std::string ZoneKeyStore::issue()
{
    const std::lock_guard lock(mutex_);
    return keys_.issue(base::BootClock::now());
}

void ZoneKeyStore::reserve(const KeyReservation &reservation, Reply reply)
{
    std::unique_lock lock(mutex_);
    if (!keys_.parse(reservation.key)) {
        lock.unlock();
        if (callerKeys_ == nullptr) {
            reply(KeyReply{});
        } else {
            callerKeys_->reserve(reservation, std::move(reply));
        }
        return;
    }
    const std::uint64_t number = ++nextNumber_;
    pendingReplies_.emplace(number, PendingReply{reservation.key, std::move(reply)});
    keys_.reserve(number, reservation, base::BootClock::now());
    deliverResults(std::move(lock));
}

void ZoneKeyStore::finish(const KeyOutcome &outcome)
{
    std::unique_lock lock(mutex_);
    const auto granted = granted_.find(outcome.key);
    if (granted != granted_.end()) {
        keys_.finish(granted->second, outcome, base::BootClock::now());
        granted_.erase(granted);
        deliverResults(std::move(lock));
        return;
    }
    lock.unlock();
    if (callerKeys_ != nullptr) {
        callerKeys_->finish(outcome);
    }
}

void ZoneKeyStore::receive(const KeyMessage &message)
{
    std::unique_lock lock(mutex_);
    keys_.handle(message, base::BootClock::now());
    deliverResults(std::move(lock));
}

void ZoneKeyStore::tick()
{
    std::unique_lock lock(mutex_);
    keys_.tick(base::BootClock::now());
    deliverResults(std::move(lock));
}

// Replies and messages are passed on without the lock, since the callbacks may call this store again.
void ZoneKeyStore::deliverResults(std::unique_lock<std::mutex> lock)
{
    std::vector<std::pair<Reply, KeyReply>> replies;
    for (KeyDecision &decision : keys_.takeDecisions()) {
        const auto pending = pendingReplies_.find(decision.number);
        if (pending == pendingReplies_.end()) {
            continue;
        }
        if (decision.reply.status == KeyStatus::Granted) {
            granted_[pending->second.key] = decision.number;
        }
        replies.emplace_back(std::move(pending->second.reply), std::move(decision.reply));
        pendingReplies_.erase(pending);
    }
    auto messages = keys_.takeMessages();
    lock.unlock();
    if (sink_ && !messages.empty()) {
        sink_(std::move(messages));
    }
    for (auto &[reply, result] : replies) {
        reply(std::move(result));
    }
}

} // namespace yuccawheel::routing
