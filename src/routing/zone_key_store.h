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

/// The key store of an entry: keys issued by entries go to `ZoneKeys`, keys that callers chose to another store, such
/// as the agreed log. Without one, nothing can be proved about callers' keys. Any thread may call it.
class ZoneKeyStore : public KeyStore
{
public:
    using MessageSink = std::function<void(std::vector<KeyMessage>)>;

    /// `callerKeys` may be null. `sink` sends messages to other entries; it may be empty.
    ZoneKeyStore(const ZoneKeysOptions &options, std::shared_ptr<KeyStore> callerKeys, MessageSink sink);

    /// Returns a new key for a caller (`POST /v1/keys`).
    std::string issue() override;
    void reserve(const KeyReservation &reservation, Reply reply) override;
    void finish(const KeyOutcome &outcome) override;
    /// Takes a message of another entry.
    void receive(const KeyMessage &message);
    /// To be called a few times a second at least.
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
