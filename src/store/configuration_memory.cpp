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

// A watch starts with a read barrier, so its full state is at least as new as all that was agreed on before it.
void ConfigurationMemory::onStoreUpdate(const protocol::StateUpdate &update)
{
    if (update.full) {
        protocol::Configuration whole;
        whole.version = update.configurationVersion;
        for (const placement::TeamQuota &quota : update.teams) {
            whole.teams[quota.team] = quota;
        }
        for (const protocol::NamedJob &service : update.services) {
            whole.services[service.name] = service.id;
        }
        if (whole.version < kept_.version) {
            base::logWarning("older_configuration_ignored").with("version", whole.version).with("kept", kept_.version);
            return;
        }
        keep(std::move(whole));
        known_ = true;
    } else if (update.configurationChanged && update.configurationVersion > kept_.version) {
        keepChange(update);
    }
}

void ConfigurationMemory::keepChange(const protocol::StateUpdate &update)
{
    protocol::Configuration next = kept_;
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
    keep(std::move(next));
}

// What was seen of the others says nothing of a version that arrived later.
void ConfigurationMemory::keep(protocol::Configuration configuration)
{
    if (configuration.version > kept_.version) {
        held_ = false;
        refused_.clear();
    }
    kept_ = std::move(configuration);
}

protocol::HoldConfigurationReply ConfigurationMemory::onHold(const protocol::HoldConfiguration &request)
{
    if (request.content && request.content->version > kept_.version) {
        keep(*request.content);
    }
    return {kept_.version};
}

protocol::RecallConfigurationReply ConfigurationMemory::onRecall() const
{
    if (!known_) {
        return {};
    }
    return {true, kept_};
}

void ConfigurationMemory::onHoldReply(const std::string &node, std::uint64_t askedFor, std::uint64_t version)
{
    if (others_.contains(node) && askedFor == kept_.version && version >= kept_.version) {
        held_ = true;
    }
}

void ConfigurationMemory::onRecallReply(const std::string &node, const protocol::RecallConfigurationReply &reply)
{
    if (known_ || !reply.known || !others_.contains(node)) {
        return;
    }
    if (reply.configuration.version > kept_.version) {
        keep(reply.configuration);
    }
    recalled_.insert(node);
    known_ = recalled_ == others_;
}

// A process that starts after the refusal has forgotten everything, so it recovers no less than what is kept here.
void ConfigurationMemory::onConnectionRefused(const std::string &node, std::uint64_t dialledFor)
{
    if (others_.contains(node) && dialledFor == kept_.version) {
        refused_.insert(node);
    }
}

// Version 0 is the lowest, so nothing can revert to it.
const protocol::Configuration *ConfigurationMemory::takeApplicable()
{
    const bool safe = kept_.version == 0 || held_ || refused_ == others_;
    if (!known_ || !safe || applied_ == kept_.version) {
        return nullptr;
    }
    YW_INVARIANT(!applied_ || *applied_ < kept_.version, "a configuration in force never reverts");
    applied_ = kept_.version;
    return &kept_;
}

std::optional<std::string> ConfigurationMemory::notReadyReason() const
{
    if (applied_) {
        return std::nullopt;
    }
    if (known_) {
        return fmt::format("configuration version {} is not in force: no other process of the zone holds it yet",
                           kept_.version);
    }
    std::vector<std::string> missing;
    std::set_difference(
        others_.begin(), others_.end(), recalled_.begin(), recalled_.end(), std::back_inserter(missing));
    if (missing.empty()) {
        return "configuration unknown: no store leader, and the zone has no other process to ask";
    }
    return fmt::format("configuration unknown: no store leader, and no answer from a process that knows it: {}",
                       fmt::join(missing, ", "));
}

} // namespace yuccawheel::store
