#include "routing/upstream_table.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <utility>

namespace yuccawheel::routing
{

UpstreamTable::UpstreamTable(UpstreamTableOptions options) : options_(std::move(options))
{
}

tl::expected<UpstreamIndex, UpstreamTableError> UpstreamTable::applyHeartbeat(const UpstreamAnnouncement &announcement,
                                                                              base::TimePoint now)
{
    const Upstream *known = find(announcement.executor);
    const bool sameIncarnation = known != nullptr && known->info.incarnation == announcement.incarnation;
    const UpstreamUpdate update{announcement, options_.zone, sameIncarnation ? known->sequence + 1 : 1, {}};
    return apply(update, now, now, true);
}

tl::expected<UpstreamIndex, UpstreamTableError> UpstreamTable::applyUpdate(const UpstreamUpdate &update,
                                                                           base::TimePoint now)
{
    return apply(update, now - update.age, now, false);
}

// Leaving is final within an incarnation: a late heartbeat must not make a leaving upstream serving again.
tl::expected<UpstreamIndex, UpstreamTableError>
UpstreamTable::apply(const UpstreamUpdate &update, base::TimePoint heard, base::TimePoint now, bool direct)
{
    const UpstreamAnnouncement &fresh = update.announcement;
    const auto index = findOrReserve(fresh.executor);
    if (!index) {
        return index;
    }
    Upstream &upstream = upstreams_[*index];
    if (upstream.known && fresh.incarnation < upstream.info.incarnation) {
        return tl::unexpected(UpstreamTableError::StaleIncarnation);
    }
    const bool restarted = !upstream.known || fresh.incarnation > upstream.info.incarnation;
    const bool leaving =
        fresh.state == UpstreamState::Leaving || (!restarted && upstream.info.state == UpstreamState::Leaving);
    const bool newer = restarted || update.sequence > upstream.sequence;
    const bool changed = restarted || leaving != (upstream.info.state == UpstreamState::Leaving)
        || (newer && upstream.info.services != fresh.services);
    if (newer && upstream.info.services != fresh.services && !setServices(*index, fresh.services)) {
        return tl::unexpected(UpstreamTableError::TooManyServices);
    }
    if (newer) {
        upstream.info = fresh;
        upstream.zone = update.zone;
        upstream.local = update.zone == options_.zone;
        upstream.sequence = update.sequence;
        upstream.lastHeard = std::max(upstream.lastHeard, heard);
    }
    if (restarted) {
        upstream.health = UpstreamHealth();
        upstream.latency = {};
    }
    upstream.info.state = leaving ? UpstreamState::Leaving : UpstreamState::Serving;
    upstream.known = true;
    if (direct) {
        relayIfDue(upstream, changed, now);
    } else if (upstream.local) {
        // Another entry of the zone has relayed this update; this entry takes over if no further updates arrive.
        upstream.lastRelayed = std::max(upstream.lastRelayed, heard);
    }
    return *index;
}

bool UpstreamTable::isPrimaryRelay(std::string_view executor) const
{
    const std::uint64_t own = rendezvousWeight(executor, options_.entry);
    return std::none_of(options_.zoneEntries.begin(), options_.zoneEntries.end(), [&](const std::string &entry) {
        return rendezvousWeight(executor, entry) > own;
    });
}

void UpstreamTable::relayIfDue(Upstream &upstream, bool changed, base::TimePoint now)
{
    const base::Duration interval = options_.relayInterval
        + (isPrimaryRelay(upstream.info.executor) ? base::Duration(0) : options_.relayTakeoverDelay);
    if (changed || now - upstream.lastRelayed >= interval) {
        upstream.lastRelayed = now;
        updates_.push_back(UpstreamUpdate{upstream.info, upstream.zone, upstream.sequence, now - upstream.lastHeard});
    }
}

tl::expected<UpstreamIndex, UpstreamTableError> UpstreamTable::findOrReserve(std::string_view executor)
{
    if (const auto found = indexByExecutor_.find(executor); found != indexByExecutor_.end()) {
        return found->second;
    }
    if (indexByExecutor_.size() >= options_.maxUpstreams) {
        return tl::unexpected(UpstreamTableError::TooManyUpstreams);
    }
    UpstreamIndex index = 0;
    if (freeIndices_.empty()) {
        index = static_cast<UpstreamIndex>(upstreams_.size());
        upstreams_.emplace_back();
    } else {
        index = freeIndices_.back();
        freeIndices_.pop_back();
        upstreams_[index] = Upstream();
    }
    indexByExecutor_.emplace(executor, index);
    return index;
}

bool UpstreamTable::setServices(UpstreamIndex index, const std::vector<std::string> &services)
{
    Upstream &upstream = upstreams_[index];
    for (const ServiceIndex service : upstream.services) {
        std::erase(upstreamsByService_[service], index);
    }
    upstream.services.clear();
    for (const std::string &name : services) {
        if (indexByService_.size() >= options_.maxServices && !indexByService_.contains(name)) {
            return false;
        }
        const auto [entry, added] =
            indexByService_.try_emplace(name, static_cast<ServiceIndex>(upstreamsByService_.size()));
        if (added) {
            upstreamsByService_.emplace_back();
        }
        std::vector<UpstreamIndex> &offering = upstreamsByService_[entry->second];
        const auto place = std::lower_bound(offering.begin(), offering.end(), index);
        if (place == offering.end() || *place != index) {
            offering.insert(place, index);
            upstream.services.push_back(entry->second);
        }
    }
    return true;
}

void UpstreamTable::removeExpired(base::TimePoint now)
{
    for (UpstreamIndex index = 0; index < upstreams_.size(); ++index) {
        Upstream &upstream = upstreams_[index];
        const ExecutorShare &share = upstream.share;
        const bool unused = share.slotsInUse() == 0 && share.lentSlots() == 0 && share.borrowedLoans().empty();
        if (upstream.known && unused && now - upstream.lastHeard > options_.removalTimeout) {
            setServices(index, {});
            indexByExecutor_.erase(upstream.info.executor);
            upstream = Upstream();
            freeIndices_.push_back(index);
        }
    }
}

std::vector<UpstreamUpdate> UpstreamTable::takeUpdates()
{
    return std::exchange(updates_, {});
}

bool UpstreamTable::isServing(const Upstream &upstream, base::TimePoint now) const
{
    return upstream.known && upstream.info.state == UpstreamState::Serving
        && now - upstream.lastHeard < options_.silenceTimeout;
}

Upstream &UpstreamTable::at(UpstreamIndex index)
{
    return upstreams_[index];
}

const Upstream &UpstreamTable::at(UpstreamIndex index) const
{
    return upstreams_[index];
}

Upstream *UpstreamTable::find(std::string_view executor)
{
    const auto found = indexByExecutor_.find(executor);
    return found == indexByExecutor_.end() ? nullptr : &upstreams_[found->second];
}

const Upstream *UpstreamTable::find(std::string_view executor) const
{
    const auto found = indexByExecutor_.find(executor);
    return found == indexByExecutor_.end() ? nullptr : &upstreams_[found->second];
}

std::size_t UpstreamTable::size() const
{
    return upstreams_.size();
}

std::optional<ServiceIndex> UpstreamTable::findService(std::string_view service) const
{
    const auto found = indexByService_.find(service);
    if (found == indexByService_.end()) {
        return std::nullopt;
    }
    return found->second;
}

const std::vector<UpstreamIndex> &UpstreamTable::upstreamsOf(ServiceIndex service) const
{
    return upstreamsByService_[service];
}

std::size_t UpstreamTable::serviceCount() const
{
    return upstreamsByService_.size();
}

std::vector<UpstreamUpdate> UpstreamTable::listUpdates(base::TimePoint now) const
{
    std::vector<UpstreamUpdate> list;
    for (const Upstream &upstream : upstreams_) {
        if (upstream.known && upstream.info.incarnation != 0) {
            list.push_back({upstream.info, upstream.zone, upstream.sequence, now - upstream.lastHeard});
        }
    }
    return list;
}

} // namespace yuccawheel::routing
