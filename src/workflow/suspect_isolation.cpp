#include "workflow/suspect_isolation.h"

#include "base/invariant.h"

namespace yuccawheel::workflow
{

void SuspectIsolation::remove(WorkerNumber worker, const TaskRef &unit, Suspicion suspicion)
{
    const auto found = workers_.find(worker);
    YW_INVARIANT(found != workers_.end() && found->second.tasksByUnit.contains(unit), "only what was added is removed");
    Tenants &tenants = found->second;
    if (--tenants.tasksByUnit[unit] == 0) {
        tenants.tasksByUnit.erase(unit);
    }
    if (suspicion != Suspicion::None) {
        --tenants.suspects;
        --suspects_;
    }
    tenants.isolated -= suspicion == Suspicion::High ? 1 : 0;
    if (--tenants.tasks == 0) {
        workers_.erase(found);
    }
}

bool SuspectIsolation::admits(WorkerNumber worker, const TaskRef &unit, Suspicion suspicion) const
{
    if (suspicion == Suspicion::None && suspects_ == 0 && setAside_.empty()) {
        return true;
    }
    const auto aside = setAside_.find(worker);
    if (aside != setAside_.end() && !(aside->second.unit == unit)) {
        return false;
    }
    const auto found = workers_.find(worker);
    if (found == workers_.end()) {
        return true;
    }
    const Tenants &tenants = found->second;
    if (suspicion != Suspicion::High) {
        return tenants.isolated == 0;
    }
    const auto own = tenants.tasksByUnit.find(unit);
    return own != tenants.tasksByUnit.end() && own->second == tenants.tasks;
}

} // namespace yuccawheel::workflow
