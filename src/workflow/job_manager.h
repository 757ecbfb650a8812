#pragma once

#include "placement/ledger.h"
#include "workflow/eligibility.h"
#include "workflow/manager_port.h"
#include "workflow/objective.h"
#include "workflow/state.h"
#include "workflow/step_placer.h"
#include "workflow/worker_view.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace yuccawheel::workflow
{

struct ManagerLimits {
    std::chrono::milliseconds workerLease{10'000}; ///< Longest lease that a worker grants.
    std::chrono::milliseconds leaderLease{1'000}; ///< An earlier leader has stopped giving orders after so long.
};

/// The leader's side of all jobs: decides which task starts where and when, gives the orders, and proposes what came of
/// them. Pure but for its port: the time comes in, and it is not thread-safe.
///
/// A run is started only after the log says so, and its place is given up only on the worker's word, or when the
/// worker's lease has surely run out. So no task runs twice, whoever leads.
class JobManager
{
public:
    JobManager(ManagerPort &port, ManagerLimits limits);

    /// Begins to lead with a state that holds all entries of earlier leaders. `state` must outlive the leadership.
    void startLeading(const State &state, std::uint64_t epoch, base::TimePoint now, WallTime wall);
    void stepDown();
    bool isLeading() const
    {
        return state_ != nullptr;
    }
    /// Orders are given until then only: later another leader may give its own.
    void setLeaseEnd(base::TimePoint end)
    {
        leaseEnd_ = end;
    }

    /// Takes an entry that was just applied to the state, and what it changed.
    void
    onEntryApplied(const LogEntry &entry, const std::vector<StateEvent> &events, base::TimePoint now, WallTime wall);
    void tick(base::TimePoint now, WallTime wall);

    void onReport(const WorkerReport &report, base::TimePoint now);
    void onStartAnswer(
        WorkerNumber worker, const TaskRef &task, std::uint32_t run, const OrderAnswer &answer, base::TimePoint now);
    void onStopAnswer(
        WorkerNumber worker, const TaskRef &task, std::uint32_t run, const OrderAnswer &answer, base::TimePoint now);
    void onPollAnswer(WorkerNumber worker, const PollAnswer &answer, base::TimePoint now);
    void onEligibilityAnswer(std::uint64_t question, const EligibilityRows &rows, base::TimePoint now);

    void addGateway(EligibilityGateways::Machine machine)
    {
        machines_.add(machine);
    }
    /// A machine has gone; what it was asked is asked again.
    void removeGateway(EligibilityGateways::Machine machine, base::TimePoint now);

    /// Returns how many accepted jobs of a queue have not started a task.
    std::size_t pendingJobs(const std::string &queue) const;
    const WorkerViews &workers() const
    {
        return workers_;
    }

private:
    struct StepKey {
        JobKey job = 0;
        std::size_t position = 0;
        auto operator<=>(const StepKey &) const = default; // NOLINT(modernize-use-nullptr): false alarm
    };
    /// A step with tasks that may start.
    struct StepRun {
        StepEligibility eligibility;
        bool asking = false;
        base::TimePoint nextQuestion{};
        std::map<WorkerNumber, std::uint32_t> roomMade; ///< For a gang: tasks that workers are making room for.
        base::TimePoint roomMadeUntil{}; ///< Kept for the gang until then.
    };
    struct Question {
        StepKey step;
        std::uint64_t machine = 0;
        std::vector<WorkerNumber> workers;
        std::chrono::microseconds cost{0};
        std::chrono::milliseconds validFor{0};
        std::string queue;
        base::TimePoint deadline{};
    };
    struct Reservation {
        WorkerNumber worker = 0;
        placement::Resources amount;
        std::string ticket;
    };

    bool mayAct(base::TimePoint now) const
    {
        return state_ != nullptr && now < leaseEnd_;
    }

    // Jobs.
    void handleEvent(const StateEvent &event, base::TimePoint now);
    void settleStarts(const StartsEntry &entry, base::TimePoint now);
    void refreshJob(JobKey key);
    void stopJob(JobKey key, base::TimePoint now);
    void stopStep(JobKey key, std::size_t position, base::TimePoint now);
    void stopGang(const TaskRef &member, base::TimePoint now);
    void forgetOldJobs(base::TimePoint now);

    // Placement.
    void dispatch(base::TimePoint now);
    void reportLoad(const RoomClaims &claims, base::TimePoint now);
    std::vector<std::uint32_t> waitingTasks(const JobRecord &job, StepKey key) const;
    std::map<WorkerNumber, std::uint32_t> tasksByWorker(const JobRecord &job, StepKey key) const;
    void placeStep(
        StepKey key, StepRun &step, Rank::Hope hope, base::TimePoint now, RoomClaims &claims, StartsEntry &starts);
    placement::Resources claimLimit() const;
    void gatherRoom(const StepPlacer &placer,
                    const StepPlacer::Request &request,
                    StepKey key,
                    StepRun &step,
                    RoomClaims &claims,
                    base::TimePoint now);
    void reserve(const TaskRef &task, WorkerNumber worker, const placement::Resources &amount, std::string ticket);
    void unreserve(const TaskRef &task);
    std::vector<WorkerNumber>
    workersToAsk(const StepPlacer &placer, const StepPlacer::Request &request, StepKey key, base::TimePoint now);
    void askFor(
        const StepPlacer &placer, const StepPlacer::Request &request, StepKey key, StepRun &step, base::TimePoint now);

    void ask(const StepPlacer::Request &request,
             StepKey key,
             StepRun &step,
             const std::vector<WorkerNumber> &asked,
             base::TimePoint now);
    template <typename IsLost>
    void giveUpQuestions(IsLost isLost, base::TimePoint now);
    void giveUpLateQuestions(base::TimePoint now);

    // Workers.
    WorkerView &addWorker(WorkerNumber number, const WorkerRecord &record, base::TimePoint now);
    void removeWorker(WorkerNumber number);
    void noteAnswer(WorkerView &worker, std::optional<std::chrono::milliseconds> clock, base::TimePoint now);
    void noteNoAnswer(WorkerNumber number, WorkerView &worker, base::TimePoint now);
    void onLeaving(const WorkerIdentity &leaving);
    void markOver(WorkerNumber number, WorkerView &worker, base::TimePoint now);
    void replacedBy(WorkerNumber number, WorkerView &worker, base::TimePoint now);
    void proposeGone(WorkerNumber number, WorkerView &worker, std::string_view reason);
    void reviewWorker(WorkerNumber number, WorkerView &worker, base::TimePoint now);
    void reviewRun(WorkerNumber number, WorkerView &worker, const TaskRef &task, LiveRun &run, base::TimePoint now);
    static bool hasUnconfirmedStart(const WorkerView &worker);
    void reviewLooks(WorkerNumber number, WorkerView &worker, base::TimePoint now);
    void sendStart(WorkerNumber number, WorkerView &worker, const TaskRef &task, LiveRun &run, base::TimePoint now);
    void sendStop(WorkerNumber number, WorkerView &worker, const TaskRef &task, LiveRun &run, base::TimePoint now);
    void sendLook(WorkerNumber number, WorkerView &worker, bool quick, base::TimePoint now);
    static void stopRun(LiveRun &run, base::TimePoint now);
    void proposeNotStarted(const TaskRef &task, LiveRun &run);
    void takeRunning(
        WorkerNumber number, WorkerView &worker, const PollAnswer &answer, base::TimePoint sentAt, base::TimePoint now);
    void takeEnded(WorkerNumber number, WorkerView &worker, const PollAnswer &answer, base::TimePoint now);
    void learnPace(WorkerNumber number, const TaskRef &task, std::uint32_t run, base::TimePoint now);
    void takeEndedLater(WorkerNumber number, WorkerView &worker, const PollAnswer &answer);
    LiveRun *findRun(WorkerNumber worker, const TaskRef &task, std::uint32_t run);
    bool joins(const WorkerReport &report, base::TimePoint now);

    ManagerPort &port_;
    ManagerLimits limits_;
    const State *state_ = nullptr;
    std::uint64_t epoch_ = 0;
    base::TimePoint leaseEnd_{};
    WallTime wall_{0};
    WorkerViews workers_;
    placement::Ledger ledger_;
    std::map<TaskRef, Reservation> reservations_; ///< Of placed tasks, and of those on their way to the log.
    std::map<StepKey, StepRun> steps_;
    std::unordered_map<JobKey, base::TimePoint> arrivals_;
    std::unordered_set<JobKey> present_; ///< Jobs of which a run was seen to begin.
    std::map<std::string, WorkerReport> joining_; ///< By id: reported, but not in the log yet.
    EligibilityGateways machines_;
    PaceBook pace_;
    std::map<std::uint64_t, Question> questions_;
    std::map<std::string, double> goodShare_; ///< By queue: share of the workers that may run a step.
    std::uint64_t nextQuestion_ = 1;
    std::uint64_t nextLook_ = 1;
    base::TimePoint nextReview_{};
    base::TimePoint nextLoadReport_{};
    base::TimePoint nextForget_{};
    bool dispatchDue_ = false;
};

} // namespace yuccawheel::workflow
