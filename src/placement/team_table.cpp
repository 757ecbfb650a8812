#include "placement/team_table.h"

#include <algorithm>
#include <bit>

namespace yuccawheel::placement
{

namespace
{

// Borrowed resources are counted in steps of 1/64 of the zone's capacity. From band 3 on, each band covers twice as
// many steps as the one before.
constexpr std::int64_t ShareSteps = 64;
constexpr std::uint8_t MaxBand = 7;

std::int64_t borrowedSteps(std::int64_t used, std::int64_t guaranteed, std::int64_t total)
{
    return total <= 0 || used <= guaranteed ? 0 : (used - guaranteed) * ShareSteps / total;
}

} // namespace

TeamId TeamTable::idOf(const std::string &name)
{
    const auto [found, isNew] = ids_.try_emplace(name, static_cast<TeamId>(teams_.size()));
    if (isNew) {
        teams_.push_back({name, {}, {}});
    }
    return found->second;
}

void TeamTable::setQuotas(const std::vector<TeamQuota> &quotas)
{
    for (Team &team : teams_) {
        team.guaranteed = {};
    }
    for (const TeamQuota &quota : quotas) {
        teams_[idOf(quota.team)].guaranteed = quota.guaranteed;
    }
    quotasSet_ = !quotas.empty();
}

bool TeamTable::withinQuota(TeamId team, const Resources &more) const
{
    return !quotasSet_ || (teams_[team].used + more).fitsIn(teams_[team].guaranteed);
}

std::uint8_t TeamTable::band(TeamId team, const Resources &total) const
{
    const Team &entry = teams_[team];
    // Once CPU or memory is used up, the next task would exceed the quota.
    const bool belowQuota = entry.used.milliCpu < entry.guaranteed.milliCpu
        && entry.used.memoryMib < entry.guaranteed.memoryMib
        && entry.used.accelerators <= entry.guaranteed.accelerators;
    if (!quotasSet_ || belowQuota) {
        return 0;
    }
    const std::int64_t share =
        std::max({borrowedSteps(entry.used.milliCpu, entry.guaranteed.milliCpu, total.milliCpu),
                  borrowedSteps(entry.used.memoryMib, entry.guaranteed.memoryMib, total.memoryMib),
                  borrowedSteps(entry.used.accelerators, entry.guaranteed.accelerators, total.accelerators)});
    const int doublings = std::bit_width(static_cast<std::uint64_t>(share));
    return static_cast<std::uint8_t>(std::min(1 + doublings, int{MaxBand}));
}

} // namespace yuccawheel::placement
