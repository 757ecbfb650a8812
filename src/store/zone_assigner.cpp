#include "store/zone_assigner.h"

#include <algorithm>
#include <vector>

namespace yuccawheel::store
{

void ZoneAssigner::update(const std::string &zone, const ZoneView &view)
{
    zones_[zone] = {view, {}};
}

// Returns the utilization of the zone's scarcest resource if `demand` were added. If the zone lacks a required resource
// altogether, returns MissingResourceUtilization, which exceeds any real utilization.
double ZoneAssigner::utilization(const Zone &zone, const placement::Resources &demand)
{
    constexpr double MissingResourceUtilization = 1e6;
    const placement::Resources &capacity = zone.view.summary.capacity;
    const placement::Resources used = zone.view.summary.reserved + zone.assignedSinceReport + demand;
    const auto fraction = [](std::int64_t amount, std::int64_t total, std::int64_t demanded) {
        if (total <= 0) {
            return demanded > 0 ? MissingResourceUtilization : 0.0;
        }
        return static_cast<double>(amount) / static_cast<double>(total);
    };
    return std::max({fraction(used.milliCpu, capacity.milliCpu, demand.milliCpu),
                     fraction(used.memoryMib, capacity.memoryMib, demand.memoryMib),
                     fraction(used.accelerators, capacity.accelerators, demand.accelerators)});
}

Shares ZoneAssigner::assign(const placement::JobSpec &spec)
{
    return spec.kind == placement::JobKind::Service ? spreadOverZones(spec) : assignToOneZone(spec);
}

// Assigns replicas one at a time to the zone with the fewest of them; ties go to the least utilized zone.
Shares ZoneAssigner::spreadOverZones(const placement::JobSpec &spec)
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
            return std::pair(left.second, utilization(zones_[left.first], spec.perTask))
                < std::pair(right.second, utilization(zones_[right.first], spec.perTask));
        });
        ++best->second;
        zones_[best->first].assignedSinceReport += spec.perTask;
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

Shares ZoneAssigner::assignToOneZone(const placement::JobSpec &spec)
{
    const placement::Resources demand = spec.perTask * spec.tasks;
    Zone *best = nullptr;
    std::string bestName;
    double bestUtilization = 0;
    for (auto &[name, zone] : zones_) {
        const double zoneUtilization = utilization(zone, demand);
        if (zone.view.reachable && (best == nullptr || zoneUtilization < bestUtilization)) {
            best = &zone;
            bestName = name;
            bestUtilization = zoneUtilization;
        }
    }
    if (best == nullptr) {
        return {};
    }
    best->assignedSinceReport += demand;
    return {{bestName, 0, spec.tasks}};
}

} // namespace yuccawheel::store
