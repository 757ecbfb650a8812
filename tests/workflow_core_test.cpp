#include "workflow/manager_core.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

using namespace yuccawheel;
using namespace std::chrono_literals;
using coordination::EntryKind;
using coordination::Role;

namespace
{

constexpr workflow::WallTime Wall{1'000'000};

/// Records what a core proposes; the test decides what becomes of it.
class RecordingPort : public workflow::CorePort
{
public:
    bool pushProposal(std::uint64_t id, std::string data) override
    {
        proposals.emplace_back(id, std::move(data));
        return true;
    }
    void onLeading() override
    {
        ++starts;
    }
    void onStatus(const workflow::LogStatus &before, const workflow::LogStatus &status) override
    {
        static_cast<void>(before);
        static_cast<void>(status);
    }
    void start(workflow::WorkerNumber worker,
               const workflow::WorkerIdentity &identity,
               const workflow::StartOrder &order) override
    {
        static_cast<void>(worker);
        static_cast<void>(identity);
        static_cast<void>(order);
    }
    void stop(workflow::WorkerNumber worker,
              const workflow::WorkerIdentity &identity,
              const workflow::StopOrder &order) override
    {
        static_cast<void>(worker);
        static_cast<void>(identity);
        static_cast<void>(order);
    }
    void poll(workflow::WorkerNumber worker,
              const workflow::WorkerIdentity &identity,
              const workflow::PollOrder &order) override
    {
        static_cast<void>(worker);
        static_cast<void>(identity);
        static_cast<void>(order);
    }
    void queryEligibility(const workflow::EligibilityQuery &query) override
    {
        static_cast<void>(query);
    }
    void forget(const workflow::WorkerIdentity &identity) override
    {
        static_cast<void>(identity);
    }

    std::vector<std::pair<std::uint64_t, std::string>> proposals;
    int starts = 0;
};

class WorkflowCore : public testing::Test
{
protected:
    workflow::LogStatus status(Role role, coordination::Term term) const
    {
        workflow::LogStatus result;
        result.role = role;
        result.term = term;
        result.leader = {role == Role::Leader ? 1U : 2U, 1};
        if (role == Role::Leader) {
            result.leaseEnd = now_ + 10s;
        }
        return result;
    }
    workflow::LogOutput output(Role role, coordination::Term term) const
    {
        workflow::LogOutput result;
        result.status = status(role, term);
        return result;
    }
    void apply(workflow::LogOutput output)
    {
        core_.push(std::move(output));
        core_.apply(1'000, now_, Wall);
    }
    void lead(coordination::Term term, coordination::Index index)
    {
        workflow::LogOutput leading = output(Role::Leader, term);
        leading.committed.push_back({index, term, EntryKind::TermStart, {}});
        apply(std::move(leading));
    }
    void reportWorker()
    {
        workflow::WorkerReport report;
        report.worker.id = "w0";
        report.worker.address = "10.0.0.1:8000";
        report.worker.born = 1;
        report.worker.capacity = {4'000, 4'000, 0};
        report.clock = 1s;
        report.sequence = 1;
        core_.report(report, now_, [](const auto &) {});
    }
    std::uint64_t takeProposal()
    {
        const std::uint64_t id = port_.proposals.at(0).first;
        port_.proposals.erase(port_.proposals.begin());
        return id;
    }

    base::TimePoint now_{std::chrono::hours(1)};
    RecordingPort port_;
    workflow::ManagerCore core_{port_, workflow::ManagerLimits{}};
};

// Guards against a leader that schedules nothing for good: it was to start again after an entry that the log has
// dropped, and led again with a shorter log.
TEST_F(WorkflowCore, LeaderStartsAfterTheBarrierOfAnEarlierTermIsLost)
{
    lead(1, 1);
    ASSERT_TRUE(core_.jobs().isLeading());
    reportWorker();
    workflow::LogOutput refused = output(Role::Leader, 1);
    refused.results.push_back({takeProposal(), std::nullopt});
    apply(std::move(refused));
    now_ += 1s;
    core_.review(now_, Wall);
    ASSERT_FALSE(core_.jobs().isLeading());
    workflow::LogOutput accepted = output(Role::Leader, 1);
    accepted.results.push_back({takeProposal(), coordination::Position{9, 1}});
    apply(std::move(accepted));

    apply(output(Role::Follower, 2));
    lead(3, 3);
    EXPECT_TRUE(core_.jobs().isLeading());
}

} // namespace
