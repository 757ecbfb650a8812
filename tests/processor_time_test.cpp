#include "base/processor_time.h"

#include <gtest/gtest.h>

#include <ctime>

using namespace yuccawheel;
using namespace std::chrono_literals;

namespace
{

std::chrono::nanoseconds threadTime()
{
    timespec time{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

/// Uses this much processor time.
void work(std::chrono::milliseconds amount)
{
    const auto end = threadTime() + amount;
    while (threadTime() < end) {
    }
}

std::chrono::microseconds chargedTo(base::Duty duty)
{
    return base::processorTimeByDuty()[static_cast<std::size_t>(duty)];
}

} // namespace

// Guards against duties that hide behind the one which called them.
TEST(ProcessorTime, InnerScopesChargeTheirOwnDuty)
{
    constexpr auto Outer = 10ms;
    constexpr auto Inner = 30ms;
    {
        const base::DutyScope outer(base::Duty::Decisions);
        work(Outer / 2);
        {
            const base::DutyScope inner(base::Duty::Calls);
            work(Inner);
        }
        work(Outer / 2);
    }
    EXPECT_GE(chargedTo(base::Duty::Decisions), Outer);
    EXPECT_LT(chargedTo(base::Duty::Decisions), Inner);
    EXPECT_GE(chargedTo(base::Duty::Calls), Inner);
}

// Guards against time that no duty shows: an event loop reads from its sockets before it calls a handler.
TEST(ProcessorTime, TimeOutsideScopesBelongsToTheNextOne)
{
    constexpr auto Reading = 20ms;
    {
        const base::DutyScope before(base::Duty::Waiting);
    }
    const auto charged = chargedTo(base::Duty::Reports);
    work(Reading);
    {
        const base::DutyScope handler(base::Duty::Reports);
    }
    EXPECT_GE(chargedTo(base::Duty::Reports) - charged, Reading);
}
