#pragma once

#include "placement/job.h"
#include "placement/work_queue.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace yuccawheel::placement
{

/// Quotas of the teams and the resources that their tasks reserve.
class TeamTable
{
public:
    TeamId idOf(const std::string &name);
    void setQuotas(const std::vector<TeamQuota> &quotas);

    void charge(TeamId team, const Resources &amount)
    {
        teams_[team].used += amount;
    }
    void discharge(TeamId team, const Resources &amount)
    {
        teams_[team].used -= amount;
    }
    /// Returns whether the team's usage plus `more` is within its quota; true if no quotas are set.
    bool withinQuota(TeamId team, const Resources &more = {}) const;
    /// Returns whether quotas are set and this team has one.
    bool hasQuota(TeamId team) const
    {
        return quotasSet_ && !teams_[team].guaranteed.isZero();
    }
    /// Returns the team's queue band: 0 below its quota, then a band that grows with the logarithm of the resources
    /// borrowed beyond the quota, relative to `total`.
    std::uint8_t band(TeamId team, const Resources &total) const;
    const Resources &used(TeamId team) const
    {
        return teams_[team].used;
    }
    std::size_t size() const
    {
        return teams_.size();
    }
    const std::string &name(TeamId team) const
    {
        return teams_[team].name;
    }

private:
    struct Team {
        std::string name;
        Resources guaranteed;
        Resources used;
    };

    std::vector<Team> teams_;
    std::unordered_map<std::string, TeamId> ids_;
    bool quotasSet_ = false; ///< If false, all teams are in band 0.
};

} // namespace yuccawheel::placement
