#include "store/disk_full_log.h"

#include "base/log.h"

#include <utility>

namespace yuccawheel::store
{

void DiskFullLog::update(bool full)
{
    if (full == std::exchange(full_, full)) {
        return;
    }
    if (full) {
        base::logWarning("disk_full");
    } else {
        base::logWarning("disk_has_space");
    }
}

} // namespace yuccawheel::store
