#pragma once

#include "protocol/messages.h"
#include "store/log_entry.h"

#include <map>
#include <string>

namespace yuccawheel::store
{

/// The leader's view of a zone. Zones with an unreachable owner get no new work.
struct ZoneView {
    protocol::ZoneSummary summary;
    bool reachable = false;
};

/// Chooses zones for new jobs by utilization, which includes the resources assigned since a zone's last report.
class ZoneAssigner
{
public:
    /// Replaces the view of a zone and resets the resources counted since its last report.
    void update(const std::string &zone, const ZoneView &view);

    /// Spreads a service over all reachable zones and assigns any other job to a single zone. Empty if no zone is
    /// reachable.
    Shares assign(const placement::JobSpec &spec);

private:
    struct Zone {
        ZoneView view;
        placement::Resources assignedSinceReport;
    };

    Shares spreadOverZones(const placement::JobSpec &spec);
    Shares assignToOneZone(const placement::JobSpec &spec);
    static double utilization(const Zone &zone, const placement::Resources &demand);

    std::map<std::string, Zone> zones_;
};

} // namespace yuccawheel::store
