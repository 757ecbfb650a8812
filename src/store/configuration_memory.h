#pragma once

#include "protocol/zone_messages.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace yuccawheel::store
{

/// Decides when a daemon without a disk may put a configuration in force, so that it never goes back to a lower
/// version, also after a restart out of reach of the log (design note 0004). Pure: the caller carries the messages.
class ConfigurationMemory
{
public:
    /// `others` are the nodes of the zone's other entries and schedulers.
    explicit ConfigurationMemory(std::set<std::string> others);

    /// Takes what the leader of the log sent.
    void onStoreUpdate(const protocol::StateUpdate &update);
    /// Answers another process. Takes its content if that is newer.
    protocol::HoldConfigurationReply onHold(const protocol::HoldConfiguration &request);
    protocol::RecallConfigurationReply onRecall() const;
    /// Takes an answer to a HoldConfiguration that was sent while `askedFor` was the version kept here.
    void onHoldReply(const std::string &node, std::uint64_t askedFor, std::uint64_t version);
    /// Takes an answer to a RecallConfiguration that was sent after this process started.
    void onRecallReply(const std::string &node, const protocol::RecallConfigurationReply &reply);
    /// Notes that a node's address refused a connection, on an attempt made while `dialledFor` was the version kept
    /// here.
    void onConnectionRefused(const std::string &node, std::uint64_t dialledFor);

    /// The configuration to put in force now, or nothing if none may be or it is in force already.
    const protocol::Configuration *takeApplicable();

    /// Says whether this process has recovered what any earlier run of it may have had in force.
    bool isRecovered() const
    {
        return known_;
    }
    /// Says whether nothing is left to ask.
    bool isSettled() const
    {
        return known_ && applied_ == kept_.version;
    }
    /// What is kept; it may not be in force yet.
    const protocol::Configuration &latest() const
    {
        return kept_;
    }
    /// Version in force; nothing before the first.
    std::optional<std::uint64_t> inForce() const
    {
        return applied_;
    }
    /// Says why no configuration is in force, or nothing if one is.
    std::optional<std::string> notReadyReason() const;

private:
    void keep(protocol::Configuration configuration);
    void keepChange(const protocol::StateUpdate &update);

    std::set<std::string> others_;
    protocol::Configuration kept_;
    bool known_ = false;
    bool held_ = false; ///< Another process was seen to keep `kept_` after this one did.
    std::set<std::string> refused_; ///< Since `kept_` changed.
    std::set<std::string> recalled_; ///< Have answered with what they know.
    std::optional<std::uint64_t> applied_;
};

} // namespace yuccawheel::store
