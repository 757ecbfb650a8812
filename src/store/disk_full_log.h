#pragma once

namespace yuccawheel::store
{

/// Logs when a replica's disk has become full and when it has space again.
class DiskFullLog
{
public:
    void update(bool full);

private:
    bool full_ = false; ///< As logged last.
};

} // namespace yuccawheel::store
