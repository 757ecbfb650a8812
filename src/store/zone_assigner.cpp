#include "store/zone_assigner.h"

#include <algorithm>
#include <vector>

namespace yuccawheel::store
{

void ZoneAssigner::update(const std::string &zone, const ZoneView &view)
{
    zones_[zone] = {view, {}};
}

// Share of the zone's tightest resource in use after taking more work; above any real load if it lacks one altogether.
double ZoneAssigner::load(const Zone &zone, const placement::Resources &more)
{
    constexpr double Impossible = 1e6;
    const placement::Resources &capacity = zone.view.summary.capacity;
    const placement::Resources used = zone.view.summary.reserved + zone.promised + more;
    const auto share = [](std::int64_t amount, std::int64_t total, std::int64_t asked) {
        if (total <= 0) {
            return asked > 0 ? Impossible : 0.0;
        }
        return static_cast<double>(amount) / static_cast<double>(total);
    };
    return std::max({share(used.milliCpu, capacity.milliCpu, more.milliCpu),
                     share(used.memoryMib, capacity.memoryMib, more.memoryMib),
                     share(used.accelerators, capacity.accelerators, more.accelerators)});
}

Shares ZoneAssigner::assign(const placement::JobSpec &spec)
{
    return spec.kind == placement::JobKind::Service ? assignSpread(spec) : assignWhole(spec);
}

// One replica at a time goes to the zone with the fewest of them, and among those to the least loaded.
Shares ZoneAssigner::assignSpread(const placement::JobSpec &spec)
{
    std::vector<std::pair<std::string, std::uint32_t>> counts;
    for (const auto &[name, zone] : zones_) {
        if (zone.view.reachable) {
            counts.emplace_back(name, 0);
        }
    }
    if (counts.empty()) {
        return {};
    }
    for (std::uint32_t task = 0; task < spec.tasks; ++task) {
        auto best = std::min_element(counts.begin(), counts.end(), [&](const auto &left, const auto &right) {
            return std::pair(left.second, load(zones_[left.first], spec.perTask))
                < std::pair(right.second, load(zones_[right.first], spec.perTask));
        });
        ++best->second;
        zones_[best->first].promised += spec.perTask;
    }
    Shares shares;
    std::uint32_t next = 0;
    for (const auto &[name, count] : counts) {
        if (count > 0) {
            shares.push_back({name, next, count});
            next += count;
        }
    }
    return shares;
}

Shares ZoneAssigner::assignWhole(const placement::JobSpec &spec)
{
    const placement::Resources all = spec.perTask * spec.tasks;
    Zone *best = nullptr;
    std::string bestName;
    double bestLoad = 0;
    for (auto &[name, zone] : zones_) {
        const double zoneLoad = load(zone, all);
        if (zone.view.reachable && (best == nullptr || zoneLoad < bestLoad)) {
            best = &zone;
            bestName = name;
            bestLoad = zoneLoad;
        }
    }
    if (best == nullptr) {
        return {};
    }
    best->promised += all;
    return {{bestName, 0, spec.tasks}};
}

} // namespace yuccawheel::store
