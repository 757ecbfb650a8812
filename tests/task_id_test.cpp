#include "placement/job.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace yuccawheel::placement;

RC_GTEST_PROP(TaskId, textFormRoundTrips, (std::uint64_t job, std::uint32_t index, std::uint32_t attempt))
{
    const TaskId task{job, index, attempt};
    RC_ASSERT(parseTaskId(toString(task)) == task);
}

TEST(TaskId, malformedTextIsRefused)
{
    for (const char *text :
         {"", "1", "1.2", "1.2.", "1.2.3.", "1.2.3.4", ".1.2", "a.1.2", "1.-2.3", "1.2.99999999999"}) {
        EXPECT_FALSE(parseTaskId(text)) << text;
    }
}
