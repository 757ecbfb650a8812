#include "store/configuration_memory.h"

#include "base/invariant.h"
#include "base/log.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace yuccawheel::store
{

ConfigurationMemory::ConfigurationMemory(std::set<std::string> others) : others_(std::move(others))
{
}

// The leader passes a read barrier before it sends a full state, so the state includes everything committed before the
// watch began.
void ConfigurationMemory::onStoreUpdate(const protocol::StateUpdate &update)
{
    if (update.full) {
        protocol::Configuration received;
        received.version = update.configurationVersion;
        for (const placement::TeamQuota &quota : update.teams) {
            received.teams[quota.team] = quota;
        }
        for (const protocol::NamedJob &service : update.services) {
            received.services[service.name] = service.id;
        }
        if (received.version < latest_.version) {
            base::logWarning("older_configuration_ignored")
                .with("version", received.version)
                .with("kept", latest_.version);
            return;
        }
        setLatest(std::move(received));
        recovered_ = true;
    } else if (update.configurationChanged && update.configurationVersion > latest_.version) {
        mergeChange(update);
    }
}

void ConfigurationMemory::mergeChange(const protocol::StateUpdate &update)
{
    protocol::Configuration next = latest_;
    next.version = update.configurationVersion;
    for (const placement::TeamQuota &quota : update.teams) {
        next.teams[quota.team] = quota;
    }
    for (const std::string &team : update.removedTeams) {
        next.teams.erase(team);
    }
    for (const protocol::NamedJob &service : update.services) {
        next.services[service.name] = service.id;
    }
    for (const std::string &service : update.removedServices) {
        next.services.erase(service);
    }
    setLatest(std::move(next));
}

// Replies and refusals collected for an older version prove nothing about a newer one.
void ConfigurationMemory::setLatest(protocol::Configuration configuration)
{
    if (configuration.version > latest_.version) {
        heldElsewhere_ = false;
        refusedBy_.clear();
    }
    latest_ = std::move(configuration);
}

protocol::HoldConfigurationReply ConfigurationMemory::onHold(const protocol::HoldConfiguration &request)
{
    if (request.content && request.content->version > latest_.version) {
        setLatest(*request.content);
    }
    return {latest_.version};
}

protocol::RecallConfigurationReply ConfigurationMemory::onRecall() const
{
    if (!recovered_) {
        return {};
    }
    return {true, latest_};
}

void ConfigurationMemory::onHoldReply(const std::string &node, std::uint64_t requestedVersion, std::uint64_t version)
{
    if (others_.contains(node) && requestedVersion == latest_.version && version >= latest_.version) {
        heldElsewhere_ = true;
    }
}

void ConfigurationMemory::onRecallReply(const std::string &node, const protocol::RecallConfigurationReply &reply)
{
    if (recovered_ || !reply.known || !others_.contains(node)) {
        return;
    }
    if (reply.configuration.version > latest_.version) {
        setLatest(reply.configuration);
    }
    recalledFrom_.insert(node);
    recovered_ = recalledFrom_ == others_;
}

// A process that refuses connections is dead. It has no disk, so after a restart it recovers its configuration from the
// store leader or from all others, this process included, and gets at least the version held here.
void ConfigurationMemory::onConnectionRefused(const std::string &node, std::uint64_t versionAtDial)
{
    if (others_.contains(node) && versionAtDial == latest_.version) {
        refusedBy_.insert(node);
    }
}

// Version 0 needs no second holder: it is the lowest, so no process can have applied a lower one.
const protocol::Configuration *ConfigurationMemory::takeApplicable()
{
    const bool isSafe = latest_.version == 0 || heldElsewhere_ || refusedBy_ == others_;
    if (!recovered_ || !isSafe || applied_ == latest_.version) {
        return nullptr;
    }
    YW_INVARIANT(!applied_ || *applied_ < latest_.version, "the applied configuration version never decreases");
    applied_ = latest_.version;
    return &latest_;
}

std::optional<std::string> ConfigurationMemory::notReadyReason() const
{
    if (applied_) {
        return std::nullopt;
    }
    if (recovered_) {
        return fmt::format("configuration version {} is not applied: no other process of the zone holds it yet",
                           latest_.version);
    }
    std::vector<std::string> missing;
    std::set_difference(
        others_.begin(), others_.end(), recalledFrom_.begin(), recalledFrom_.end(), std::back_inserter(missing));
    if (missing.empty()) {
        return "configuration unknown: no store leader, and the zone has no other process to ask";
    }
    return fmt::format("configuration unknown: no store leader, and no answer from a process that knows it: {}",
                       fmt::join(missing, ", "));
}

} // namespace yuccawheel::store
