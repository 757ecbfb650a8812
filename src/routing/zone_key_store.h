#pragma once

#include "routing/key_store.h"
#include "routing/zone_keys.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace yuccawheel::routing
{

/// The key store of an entry. Keys issued by entries are handled by `ZoneKeys`, keys chosen by callers by another
/// store, such as the replicated log; without one, callers' keys are answered with Unreachable. Thread-safe.
class ZoneKeyStore : public KeyStore
{
public:
    using MessageSink = std::function<void(std::vector<KeyMessage>)>;

    /// `callerKeys` may be null. `sink` sends messages to other entries and may be empty.
    ZoneKeyStore(const ZoneKeysOptions &options, std::shared_ptr<KeyStore> callerKeys, MessageSink sink);

    /// Returns a new key for a caller (`POST /v1/keys`).
    std::string issue() override;
    void reserve(const KeyReservation &reservation, Reply reply) override;
    void finish(const KeyOutcome &outcome) override;
    /// Handles a message from another entry.
    void receive(const KeyMessage &message);
    /// Must be called at least a few times per second.
    void tick();

private:
    struct PendingReply {
        std::string key;
        Reply reply;
    };

    void deliverResults(std::unique_lock<std::mutex> lock);

    std::mutex mutex_;
    ZoneKeys keys_;
    const std::shared_ptr<KeyStore> callerKeys_;
    const MessageSink sink_;
    std::uint64_t nextNumber_;
    std::unordered_map<std::uint64_t, PendingReply> pendingReplies_;
    std::unordered_map<std::string, std::uint64_t> granted_;
};

} // namespace yuccawheel::routing
