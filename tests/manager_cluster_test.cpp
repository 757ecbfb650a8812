#include "fakes/manager_faults.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <iostream>

using namespace yuccawheel;

namespace
{

constexpr std::uint64_t RunsPerCase = 100;

/// Whole managers under faults of all layers, from the seed that the parameter names on. A guarantee that workers or
/// callers see broken at once ends the process, so each seed is printed first.
class ManagerClusterRandom : public testing::TestWithParam<std::uint64_t>
{
};

TEST_P(ManagerClusterRandom, KeepsItsGuarantees)
{
    for (std::uint64_t seed = GetParam(); seed < GetParam() + RunsPerCase; ++seed) {
        std::cout << "yw-bench managers --seed " << seed << " --runs 1" << std::endl;
        const fakes::ManagerRunResult result = fakes::play(fakes::drawRun(seed));
        EXPECT_EQ(result.failure.value_or("none"), "none") << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, ManagerClusterRandom, testing::Values(1, 101, 201, 301));

// A failure is of use only if it can be played again.
TEST(ManagerCluster, ASeedGivesTheSameRunEachTime)
{
    for (const std::uint64_t seed : {3U, 4U, 5U}) {
        const fakes::ManagerRunResult first = fakes::play(fakes::drawRun(seed));
        const fakes::ManagerRunResult second = fakes::play(fakes::drawRun(seed));
        EXPECT_EQ(first.virtualTime, second.virtualTime);
        EXPECT_EQ(first.starts, second.starts);
        EXPECT_EQ(first.jobs, second.jobs);
        EXPECT_GT(first.starts, 0U);
    }
}

} // namespace
