#pragma once

#include <cstddef>

namespace yuccawheel::base
{

/// Returns how many files this process may have open at a time.
std::size_t openFilesLimit();

/// Divides the file descriptors of a process. A reserve stays free for files (segments and snapshots of the log), for
/// channels to other processes of the cluster, and for clients that connect while the servers are at their limit.
class DescriptorBudget
{
public:
    /// How many calls to other VMs the process makes.
    enum class Calls : unsigned char {
        Few, ///< To one or two services.
        Many, ///< To each worker.
    };

    /// Divides `limit` descriptors.
    DescriptorBudget(std::size_t limit, Calls calls);

    /// Sets the number of channels to processes of the cluster. What exceeds their part of the reserve comes out of the
    /// calls.
    void setChannels(std::size_t channels)
    {
        channels_ = channels;
    }
    std::size_t limit() const
    {
        return limit_;
    }
    /// Maximum number of connections that all servers of the process together may accept.
    std::size_t forServers() const
    {
        return servers_;
    }
    /// Maximum number of connections for all calls together.
    std::size_t forCalls() const;

private:
    std::size_t limit_;
    std::size_t channelReserve_;
    std::size_t servers_;
    std::size_t calls_;
    std::size_t channels_ = 0;
};

} // namespace yuccawheel::base
