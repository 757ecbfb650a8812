#include "base/duty_time.h"

#include <gtest/gtest.h>

#include <chrono>
#include <thread>

using namespace yuccawheel;
using namespace std::chrono_literals;

namespace
{

void spend(std::chrono::milliseconds time)
{
    std::this_thread::sleep_for(time);
}

std::chrono::microseconds chargedTo(base::Duty duty)
{
    return base::timeByDuty()[static_cast<std::size_t>(duty)];
}

} // namespace

// Guards against duties that hide behind the one which called them.
TEST(DutyTime, InnerScopesChargeTheirOwnDuty)
{
    constexpr auto Outer = 10ms;
    constexpr auto Inner = 30ms;
    const auto begin = std::chrono::steady_clock::now();
    {
        const base::DutyScope outer(base::Duty::Decisions);
        spend(Outer / 2);
        {
            const base::DutyScope inner(base::Duty::Calls);
            spend(Inner);
        }
        spend(Outer / 2);
    }
    EXPECT_GE(chargedTo(base::Duty::Decisions), Outer);
    EXPECT_GE(chargedTo(base::Duty::Calls), Inner);
    const auto passed = std::chrono::steady_clock::now() - begin;
    EXPECT_LE(chargedTo(base::Duty::Decisions) + chargedTo(base::Duty::Calls), passed) << "nothing is charged twice";
}

// Guards against time that no duty shows: an event loop reads from its sockets before it calls a handler.
TEST(DutyTime, TimeOutsideScopesBelongsToTheNextOne)
{
    constexpr auto Reading = 20ms;
    {
        const base::DutyScope earlier(base::Duty::Waiting);
    }
    const auto charged = chargedTo(base::Duty::Reports);
    spend(Reading);
    {
        const base::DutyScope handler(base::Duty::Reports);
    }
    EXPECT_GE(chargedTo(base::Duty::Reports) - charged, Reading);
}
