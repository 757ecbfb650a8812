#include "base/descriptor_budget.h"

#include <algorithm>
#include <sys/resource.h>

namespace yuccawheel::base
{

namespace
{

constexpr std::size_t FileReserve = 212; ///< Includes what a platform takes for files outside the data folder.
constexpr std::size_t ChannelReserve = 300;
constexpr std::size_t MaxReserveDivisor = 2; ///< The reserve is at most half of the limit.
constexpr std::size_t FewCalls = 16;
// Workers report to a server of the process that calls them, over about one connection for two to them.
constexpr std::size_t ManyCallsPercent = 60;

} // namespace

std::size_t openFilesLimit()
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return std::size_t{1} << 20U;
    }
    return static_cast<std::size_t>(limit.rlim_cur);
}

DescriptorBudget::DescriptorBudget(std::size_t limit, Calls calls) : limit_(limit)
{
    const std::size_t reserve = std::min(FileReserve + ChannelReserve, limit / MaxReserveDivisor);
    channelReserve_ = reserve * ChannelReserve / (FileReserve + ChannelReserve);
    const std::size_t divided = limit - reserve;
    calls_ = calls == Calls::Many ? divided * ManyCallsPercent / 100 : std::min(FewCalls, divided / 2);
    servers_ = divided - calls_;
}

std::size_t DescriptorBudget::forCalls() const
{
    const std::size_t excess = channels_ - std::min(channels_, channelReserve_);
    return calls_ - std::min(calls_, excess);
}

} // namespace yuccawheel::base
