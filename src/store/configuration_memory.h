#pragma once

#include "protocol/zone_messages.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace yuccawheel::store
{

/// Decides when a daemon without a disk may apply a configuration, so that the applied version never decreases, not
/// even across a restart while the replicated log is unreachable (design note 0004). A configuration is applied only
/// once another process of the zone holds it too; a restarted process recovers it from the others. Does no I/O: the
/// caller sends and receives the messages.
class ConfigurationMemory
{
public:
    /// `others` are the node names of the zone's other entries and schedulers.
    explicit ConfigurationMemory(std::set<std::string> others);

    /// Merges an update from the store leader.
    void onStoreUpdate(const protocol::StateUpdate &update);
    /// Returns the reply to another process. Adopts the request's configuration if it is newer.
    protocol::HoldConfigurationReply onHold(const protocol::HoldConfiguration &request);
    /// Returns the reply to another process: the latest configuration, or nothing before this process has recovered.
    protocol::RecallConfigurationReply onRecall() const;
    /// Handles a reply to a HoldConfiguration that was sent while `requestedVersion` was the latest version here.
    /// `version` is the version that `node` holds.
    void onHoldReply(const std::string &node, std::uint64_t requestedVersion, std::uint64_t version);
    /// Handles a reply to a RecallConfiguration that was sent after this process started.
    void onRecallReply(const std::string &node, const protocol::RecallConfigurationReply &reply);
    /// Records that a node refused a connection attempt that began while `versionAtDial` was the latest version here.
    void onConnectionRefused(const std::string &node, std::uint64_t versionAtDial);

    /// Returns the configuration to apply now and marks it as applied. Null if none may be applied or the latest one is
    /// applied already.
    const protocol::Configuration *takeApplicable();

    /// Whether the latest configuration is at least as new as any that an earlier run of this process applied.
    bool isRecovered() const
    {
        return recovered_;
    }
    /// Whether the latest configuration is applied, so that the other processes need not be asked.
    bool isSettled() const
    {
        return recovered_ && applied_ == latest_.version;
    }
    /// The newest configuration received; it may not be applied yet.
    const protocol::Configuration &latest() const
    {
        return latest_;
    }
    /// Version applied by this run; nothing before the first.
    std::optional<std::uint64_t> appliedVersion() const
    {
        return applied_;
    }
    /// Why no configuration is applied; nothing if one is.
    std::optional<std::string> notReadyReason() const;

private:
    void setLatest(protocol::Configuration configuration);
    void mergeChange(const protocol::StateUpdate &update);

    std::set<std::string> others_;
    protocol::Configuration latest_;
    bool recovered_ = false;
    bool heldElsewhere_ = false; ///< Another process has confirmed that it holds `latest_` or a newer version.
    std::set<std::string> refusedBy_; ///< Nodes that refused a connection attempt begun with `latest_`.
    std::set<std::string> recalledFrom_; ///< Nodes that have sent their configuration.
    std::optional<std::uint64_t> applied_;
};

} // namespace yuccawheel::store
