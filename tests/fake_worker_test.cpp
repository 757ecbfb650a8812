#include "fakes/worker_state.h"

#include <gtest/gtest.h>

#include <vector>

using namespace std::chrono_literals;
using namespace yuccawheel;
using nlohmann::json;

namespace
{

json startCommand(const std::string &task, int milliCpu, const std::string &payload)
{
    return {{"command", "start"},
            {"task", task},
            {"reserved", {{"milli_cpu", milliCpu}, {"memory_mib", 100}}},
            {"payload", payload},
            {"detached_for_ms", 3000}};
}

class FakeWorkerTest : public testing::Test
{
protected:
    /// Polls at `at` and handles an answer with these commands. Returns whether the worker accepts its epoch.
    bool exchange(std::chrono::milliseconds at, int epoch, const std::string &owner, const std::vector<json> &commands)
    {
        const auto now = start_ + at;
        state_.advance(now);
        sent_ = state_.poll(now);
        const json answer{{"epoch", {epoch, 0}},
                          {"owner", owner},
                          {"acknowledged", sent_["sequence"]},
                          {"lease_ms", 1000},
                          {"commands", commands}};
        return state_.answer(answer, now, now);
    }

    /// Returns the state of a task in the last poll, or an empty text if the poll doesn't contain it.
    std::string reported(const std::string &task) const
    {
        for (const json &report : sent_.value("tasks", json::array())) {
            if (report["task"] == task) {
                return report["state"];
            }
        }
        return "";
    }

    int violations()
    {
        int count = 0;
        for (const auto &record : state_.takeRecords()) {
            count += record.kind == fakes::WorkerRecord::Kind::Violation ? 1 : 0;
        }
        return count;
    }

    const base::TimePoint start_{1h};
    fakes::WorkerState state_{{}, start_};
    json sent_;
};

TEST_F(FakeWorkerTest, runsATaskAndRepeatsItsEndUntilAcknowledged)
{
    exchange(0ms, 1, "x", {startCommand("1.0.0", 1000, "{run_ms: 200, result: fail}")});
    exchange(100ms, 1, "x", {});
    EXPECT_EQ(reported("1.0.0"), "running");
    state_.advance(start_ + 300ms);
    state_.poll(start_ + 300ms); // This poll gets no answer.
    exchange(310ms, 1, "x", {startCommand("1.0.0", 1000, "")});
    EXPECT_EQ(reported("1.0.0"), "failed");
    exchange(320ms, 1, "x", {});
    EXPECT_EQ(reported("1.0.0"), "failed")
        << "a repeated start must not run the task again; the worker reports its end state";
    exchange(330ms, 1, "x", {});
    EXPECT_EQ(reported("1.0.0"), "");
    EXPECT_EQ(violations(), 0);
}

TEST_F(FakeWorkerTest, reportsTheLimitInForceAndCountsItAgainstItsCapacity)
{
    const json lower{{"milli_cpu", 10'000}, {"memory_mib", 1'024}, {"accelerators", 0}};
    exchange(0ms, 1, "x", {startCommand("1.0.0", 60'000, "{run_ms: 60000}")});
    exchange(10ms, 1, "x", {{{"command", "throttle"}, {"task", "1.0.0"}, {"limit", lower}}});
    EXPECT_EQ(sent_["tasks"][0]["limit"]["milli_cpu"], 60'000);
    exchange(600ms, 1, "x", {startCommand("2.0.0", 50'000, "{run_ms: 60000}")});
    EXPECT_EQ(sent_["tasks"][0]["limit"], lower);
    EXPECT_EQ(violations(), 0) << "the first task is throttled from 60 cores to 10, so another 50 fit into 64";
}

TEST_F(FakeWorkerTest, refusesLowerEpochsAndASecondOwnerDuringALease)
{
    EXPECT_TRUE(exchange(0ms, 5, "x", {}));
    EXPECT_FALSE(exchange(10ms, 4, "x", {startCommand("1.0.0", 1000, "{run_ms: 9000}")}));
    EXPECT_FALSE(exchange(900ms, 6, "y", {})) << "the lease of x lasts until 1000 ms";
    EXPECT_TRUE(exchange(1001ms, 6, "y", {}));
    EXPECT_FALSE(exchange(3000ms, 5, "x", {}));
    state_.releaseLease();
    EXPECT_TRUE(exchange(3001ms, 7, "x", {}));
    EXPECT_EQ(state_.takeRecords().size(), 0U);
}

TEST_F(FakeWorkerTest, stopsATaskThatIsNotRenewed)
{
    exchange(0ms, 1, "x", {startCommand("1.0.0", 1000, "{run_ms: 60000}")});
    exchange(3500ms, 1, "x", {});
    EXPECT_EQ(reported("1.0.0"), "stopped");
    const auto records = state_.takeRecords();
    ASSERT_EQ(records.size(), 2U);
    EXPECT_EQ(records[1].at, start_ + 3000ms);
}

TEST_F(FakeWorkerTest, startsNothingFromAnAnswerOlderThanDetachedFor)
{
    state_.poll(start_);
    const std::vector<json> commands{startCommand("1.0.0", 1000, "{run_ms: 5}")};
    const json answer{{"epoch", {1, 0}}, {"owner", "x"}, {"commands", commands}};
    state_.answer(answer, start_, start_ + 4s);
    EXPECT_EQ(state_.takeRecords().size(), 0U);
}

TEST_F(FakeWorkerTest, recordsViolationsOfThePlatformsGuarantees)
{
    exchange(0ms, 1, "x", {startCommand("1.0.0", 40000, "{run_ms: 1000}"), startCommand("1.0.1", 1, "{run_ms: 1000}")});
    EXPECT_EQ(violations(), 1);
    exchange(10ms, 1, "x", {startCommand("1.1.0", 30000, "{run_ms: 1000}")});
    EXPECT_EQ(violations(), 1);
}

TEST_F(FakeWorkerTest, losesAllTasksOnPowerLoss)
{
    exchange(0ms, 1, "x", {startCommand("1.0.0", 1000, "{run_ms: 1000}")});
    const auto incarnation = sent_["incarnation"].get<int>();
    state_.losePower(start_ + 10ms);
    exchange(20ms, 1, "x", {});
    EXPECT_EQ(sent_["incarnation"], incarnation + 1);
    EXPECT_EQ(sent_["full"], true);
    EXPECT_EQ(sent_["tasks"].size(), 0U);
}

} // namespace
