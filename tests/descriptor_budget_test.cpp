#include "base/descriptor_budget.h"

#include <gtest/gtest.h>

using yuccawheel::base::DescriptorBudget;

// Guards against processes that end because their connections have taken the last file descriptor.
TEST(DescriptorBudget, LeavesAReserve)
{
    for (const std::size_t limit : {256U, 1'024U, 4'324U, 65'536U}) {
        for (const auto calls : {DescriptorBudget::Calls::Few, DescriptorBudget::Calls::Many}) {
            const DescriptorBudget budget(limit, calls);
            EXPECT_EQ(budget.limit(), limit);
            EXPECT_GT(budget.forServers(), 0U);
            EXPECT_GT(budget.forCalls(), 0U);
            EXPECT_LE(budget.forServers() + budget.forCalls(), limit - std::min<std::size_t>(limit / 2, 512));
        }
    }
}

TEST(DescriptorBudget, ChannelsBeyondTheReserveComeOutOfTheCalls)
{
    DescriptorBudget budget(4'000, DescriptorBudget::Calls::Many);
    const std::size_t calls = budget.forCalls();
    budget.setChannels(300);
    EXPECT_EQ(budget.forCalls(), calls);
    budget.setChannels(1'000);
    EXPECT_EQ(budget.forCalls(), calls - 700);
    budget.setChannels(100'000);
    EXPECT_EQ(budget.forCalls(), 0U);
}
