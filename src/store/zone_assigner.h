#pragma once

#include "protocol/messages.h"
#include "store/log_entry.h"

#include <map>
#include <string>

namespace yuccawheel::store
{

/// What the leader knows of a zone. Zones whose owner is silent take no new work.
struct ZoneView {
    protocol::ZoneSummary summary;
    bool reachable = false;
};

/// Chooses the zones for new jobs. Pure; keeps count of what it has given out since the zones last reported.
class ZoneAssigner
{
public:
    void update(const std::string &zone, const ZoneView &view);

    /// Services are spread over all reachable zones, gangs stay in one, batch jobs stay in one if they fit there.
    /// Empty if no zone is reachable.
    Shares assign(const placement::JobSpec &spec);

private:
    struct Zone {
        ZoneView view;
        placement::Resources promised; ///< Given out since the last report.
    };

    Shares assignSpread(const placement::JobSpec &spec);
    Shares assignWhole(const placement::JobSpec &spec);
    static double load(const Zone &zone, const placement::Resources &more);

    std::map<std::string, Zone> zones_;
};

} // namespace yuccawheel::store
