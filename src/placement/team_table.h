#pragma once

#include "placement/job.h"
#include "placement/work_queue.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace yuccawheel::placement
{

/// The teams' guaranteed shares and what their tasks reserve now.
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
    /// Says whether the team's use stays within its guaranteed share when `more` is added.
    bool withinQuota(TeamId team, const Resources &more = {}) const;
    /// Says whether quotas are in force and this team has one.
    bool hasQuota(TeamId team) const
    {
        return quotasSet_ && !teams_[team].guaranteed.isZero();
    }
    /// Returns the queue band: 0 within the share, then higher by the doublings of what is borrowed, as a part of
    /// `total`.
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
    bool quotasSet_ = false; ///< Without any quota the teams are not told apart.
};

} // namespace yuccawheel::placement
