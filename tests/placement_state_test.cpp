#include "placement/planner.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

using namespace yuccawheel::placement;
using namespace std::chrono_literals;
using yuccawheel::base::TimePoint;
using yuccawheel::base::Verdict;

namespace
{

using Index = std::pair<JobId, std::uint32_t>;

/// A simulated worker: running tasks, remembered end states, and messages in flight in both directions.
struct FakeWorker {
    struct Running {
        Resources limit;
        std::uint32_t ignoredCheckpoints = 0;
    };
    Resources capacity;
    std::string rack;
    bool connected = true;
    std::map<TaskId, Running> running;
    std::map<TaskId, TaskState> ended; ///< Includes tasks that it was asked about but never ran.
    std::deque<Command> inbox;
    std::deque<TaskReport> reports;
};

struct Share {
    JobSpec spec;
    bool cancelled = false;
    bool ended = false;
    bool neverFits = false;
};

/// Runs a planner against simulated workers under random faults and checks its guarantees by what the workers run.
class World
{
public:
    explicit World(std::uint64_t seed) : random_(seed)
    {
        for (WorkerId id = 0; id < 6; ++id) {
            workers_.push_back({{8'000, 16'384, id < 2 ? 2 : 0}, "r" + std::to_string(id / 2), true, {}, {}, {}, {}});
        }
        startOwner();
    }

    void step(std::uint8_t kind);
    void finishAfterFaults();

private:
    std::uint32_t draw(std::uint32_t count)
    {
        return static_cast<std::uint32_t>(random_() % count);
    }
    void handle(const Event &event)
    {
        planner_->handle(event, now_);
    }
    void startOwner();
    void assign(const Share &share, bool recovered);
    void newJob();
    void join(WorkerId id);
    void decide();
    void recordStart(const StartTask &start, std::map<JobId, std::uint32_t> &gangStarts);
    void recordFinalResult(const Index &index, Verdict verdict);
    void deliverCommand(WorkerId id);
    void runTask(FakeWorker &worker, const StartTask &start);
    void stopTask(FakeWorker &worker, const StopTask &stop);
    void endTask(FakeWorker &worker, TaskId task, TaskState state);
    void deliverReport(WorkerId id);
    void endRandomTask(WorkerId id);
    void reportUsage(WorkerId id);
    void reconnect(WorkerId id);
    void loseLeases(WorkerId id, bool restarted);
    void checkWorkers() const;

    std::mt19937_64 random_;
    TimePoint now_{1h};
    std::unique_ptr<Planner> planner_;
    std::vector<FakeWorker> workers_;
    std::map<JobId, Share> shares_;
    std::map<Index, Verdict> finalResults_;
    std::set<Index> startSent_;
    std::set<Index> everRan_;
    std::uint32_t owner_ = 0;
    JobId lastJob_ = 0;
    bool faultsEnded_ = false; ///< No more faults: tasks end with success.
};

void World::startOwner()
{
    ++owner_;
    PlannerOptions options;
    options.objective = owner_ % 2 == 0 ? Objective::Waiting : Objective::Packing;
    planner_ = std::make_unique<Planner>(options);
    // Workers reject commands of earlier owners, so those are lost. Shares and workers arrive in random order.
    std::vector<std::int64_t> order;
    for (WorkerId id = 0; id < workers_.size(); ++id) {
        workers_[id].inbox.clear();
        workers_[id].reports.clear();
        order.push_back(-1 - static_cast<std::int64_t>(id));
    }
    for (const auto &[id, share] : shares_) {
        if (!share.ended) {
            order.push_back(static_cast<std::int64_t>(id));
        }
    }
    std::shuffle(order.begin(), order.end(), random_);
    for (const std::int64_t entry : order) {
        if (entry < 0) {
            workers_[-1 - entry].connected = false;
            join(static_cast<WorkerId>(-1 - entry));
        } else {
            assign(shares_[entry], true);
        }
        if (draw(3) == 0) {
            decide();
        }
    }
    handle(RecoveryFinished{});
}

void World::assign(const Share &share, bool recovered)
{
    JobAssigned event;
    event.spec = share.spec;
    event.count = share.spec.tasks;
    event.recovered = recovered;
    event.firstAttempt = owner_ * 1'000;
    event.startsRecorded = share.spec.id % 2 == 0;
    for (std::uint32_t index = 0; index < share.spec.tasks; ++index) {
        if (finalResults_.count({share.spec.id, index}) != 0) {
            event.finished.push_back(index);
        }
        if (startSent_.count({share.spec.id, index}) != 0) {
            event.maybeStarted.push_back(index);
        }
    }
    handle(event);
    if (share.cancelled) {
        handle(JobCancelled{share.spec.id});
    }
}

void World::newJob()
{
    Share share;
    JobSpec &spec = share.spec;
    spec.id = ++lastJob_;
    spec.team = "team" + std::to_string(draw(3));
    spec.name = "job" + std::to_string(draw(4));
    spec.kind = static_cast<JobKind>(draw(3));
    spec.tasks = 1 + draw(spec.kind == JobKind::Batch ? 12 : 4);
    spec.perTask = {500 * std::int64_t{1 + draw(17)}, 256 * std::int64_t{1 + draw(40)}, draw(5) == 0 ? draw(3) : 0};
    spec.declaredRunTime = std::chrono::seconds(1 + draw(100));
    spec.priority = static_cast<std::int32_t>(draw(5)) - 2;
    spec.urgent = draw(5) == 0;
    spec.repeatable = draw(4) != 0;
    if (draw(4) == 0) {
        spec.deadline = std::chrono::seconds(draw(500));
    }
    shares_[spec.id] = share;
    assign(share, false);
}

void World::join(WorkerId id)
{
    FakeWorker &worker = workers_[id];
    if (!worker.connected) {
        worker.inbox.clear();
        worker.reports.clear();
    }
    worker.connected = true;
    WorkerJoined event{id, "vm" + std::to_string(id), worker.rack, worker.capacity, {}};
    for (const auto &[task, running] : worker.running) {
        event.running.push_back({task, running.limit});
    }
    handle(event);
}

void World::decide()
{
    std::vector<Command> commands;
    planner_->decide(now_, commands);
    std::map<JobId, std::uint32_t> gangStarts;
    for (const Command &command : commands) {
        if (const auto *started = std::get_if<StartTask>(&command)) {
            recordStart(*started, gangStarts);
        } else if (const auto *stopped = std::get_if<StopTask>(&command)) {
            workers_[stopped->worker].inbox.emplace_back(*stopped);
        } else if (const auto *throttle = std::get_if<ThrottleTask>(&command)) {
            workers_[throttle->worker].inbox.emplace_back(*throttle);
        } else if (const auto *done = std::get_if<TaskDone>(&command)) {
            recordFinalResult({done->task.job, done->task.index}, done->verdict);
        } else if (const auto *notRun = std::get_if<TasksNotRun>(&command)) {
            for (std::uint32_t index = 0; index < notRun->count; ++index) {
                recordFinalResult({notRun->job, notRun->firstIndex + index}, Verdict::NotRun);
            }
        } else if (const auto *ended = std::get_if<JobShareDone>(&command)) {
            shares_[ended->job].ended = true;
        } else if (const auto *neverFits = std::get_if<JobNeverFits>(&command)) {
            RC_ASSERT(!neverFits->missing.isZero());
            shares_[neverFits->job].neverFits = true;
        }
    }
    for (const auto &[job, count] : gangStarts) {
        std::uint32_t finals = 0;
        for (std::uint32_t index = 0; index < shares_[job].spec.tasks; ++index) {
            finals += finalResults_.count({job, index});
        }
        RC_ASSERT(count + finals == shares_[job].spec.tasks);
    }
}

void World::recordStart(const StartTask &start, std::map<JobId, std::uint32_t> &gangStarts)
{
    const Index index{start.task.job, start.task.index};
    const Share &share = shares_[index.first];
    RC_ASSERT(finalResults_.count(index) == 0U);
    RC_ASSERT(!share.cancelled);
    RC_ASSERT((share.spec.repeatable || startSent_.count(index) == 0U));
    startSent_.insert(index);
    workers_[start.worker].inbox.emplace_back(start);
    if (share.spec.kind == JobKind::Gang) {
        ++gangStarts[index.first];
    }
}

void World::recordFinalResult(const Index &index, Verdict verdict)
{
    const bool first = finalResults_.emplace(index, verdict).second;
    RC_ASSERT(first);
    RC_ASSERT((verdict != Verdict::NotRun || everRan_.count(index) == 0U));
}

void World::deliverCommand(WorkerId id)
{
    FakeWorker &worker = workers_[id];
    if (worker.inbox.empty() || !worker.connected) {
        return;
    }
    const Command command = worker.inbox.front();
    worker.inbox.pop_front();
    if (const auto *started = std::get_if<StartTask>(&command)) {
        runTask(worker, *started);
    } else if (const auto *stopped = std::get_if<StopTask>(&command)) {
        stopTask(worker, *stopped);
    } else if (const auto *throttle = std::get_if<ThrottleTask>(&command)) {
        const auto found = worker.running.find(throttle->task);
        if (found != worker.running.end()) {
            found->second.limit = throttle->limit;
        }
    }
}

void World::runTask(FakeWorker &worker, const StartTask &start)
{
    if (worker.ended.count(start.task) != 0) {
        return;
    }
    const Index index{start.task.job, start.task.index};
    RC_ASSERT((finalResults_.count(index) == 0U || finalResults_[index] != Verdict::NotRun));
    everRan_.insert(index);
    worker.running[start.task] = {start.reserved, 0};
    worker.reports.push_back({start.task, TaskState::Running, start.reserved, start.reserved});
}

void World::stopTask(FakeWorker &worker, const StopTask &command)
{
    const auto found = worker.running.find(command.task);
    if (found == worker.running.end()) {
        const TaskState state = worker.ended.emplace(command.task, TaskState::Unknown).first->second;
        worker.reports.push_back({command.task, state, {}});
    } else if (!command.checkpointFirst) {
        endTask(worker, command.task, TaskState::Stopped);
    } else if (draw(2) == 0) {
        endTask(worker, command.task, TaskState::Checkpointed);
    }
}

void World::endTask(FakeWorker &worker, TaskId task, TaskState state)
{
    worker.running.erase(task);
    worker.ended[task] = state;
    worker.reports.push_back({task, state, {}});
}

// Delivers some reports out of order and some twice.
void World::deliverReport(WorkerId id)
{
    FakeWorker &worker = workers_[id];
    if (worker.reports.empty() || !worker.connected) {
        return;
    }
    const std::size_t position = draw(4) == 0 ? draw(worker.reports.size()) : 0;
    const TaskReport report = worker.reports[position];
    if (draw(5) != 0 || faultsEnded_) {
        worker.reports.erase(worker.reports.begin() + static_cast<std::ptrdiff_t>(position));
    }
    handle(WorkerReported{id, {report}});
}

void World::endRandomTask(WorkerId id)
{
    FakeWorker &worker = workers_[id];
    if (worker.running.empty()) {
        return;
    }
    const auto position = std::next(worker.running.begin(), draw(worker.running.size()));
    const bool bad = id == 0 || position->first.job % 7 == 0;
    const TaskState state = bad && !faultsEnded_ ? TaskState::Failed : TaskState::Finished;
    endTask(worker, position->first, state);
}

// Reports a random usage up to the limit of each task.
void World::reportUsage(WorkerId id)
{
    for (const auto &[task, running] : workers_[id].running) {
        const auto part = static_cast<std::int64_t>(draw(101));
        const Resources usage{
            running.limit.milliCpu * part / 100, running.limit.memoryMib * part / 100, running.limit.accelerators};
        workers_[id].reports.push_back({task, TaskState::Running, usage, running.limit});
    }
}

// In some cases the worker has restarted and lost its tasks and all record of them.
void World::reconnect(WorkerId id)
{
    workers_[id].connected = false;
    if (draw(4) == 0) {
        workers_[id].running.clear();
        workers_[id].ended.clear();
    }
    join(id);
}

// The worker's tasks stop, by their leases or with a restart of the worker, before the planner learns of the expiry.
void World::loseLeases(WorkerId id, bool restarted)
{
    FakeWorker &worker = workers_[id];
    for (const auto &[task, running] : worker.running) {
        worker.ended[task] = TaskState::Stopped;
    }
    worker.running.clear();
    if (restarted) {
        worker.ended.clear();
    }
    worker.inbox.clear();
    worker.connected = false;
    handle(WorkerLeasesExpired{id});
    decide();
    if (restarted && draw(3) == 0) {
        worker.capacity.milliCpu = 4'000 + (1'000 * draw(6));
    }
}

void World::step(std::uint8_t kind)
{
    const WorkerId id = draw(workers_.size());
    const JobId job = 1 + draw(static_cast<std::uint32_t>(lastJob_) + 1);
    switch (kind % 24) {
    case 0:
    case 1:
    case 2:
        newJob();
        break;
    case 3:
        if (shares_.count(job) != 0) {
            shares_[job].cancelled = true;
            handle(JobCancelled{job});
        }
        break;
    case 4:
        reconnect(id);
        break;
    case 5:
        loseLeases(id, draw(2) == 0);
        break;
    case 6:
        handle(WorkerUnreachable{id});
        break;
    case 7:
        handle(WorkerReachable{id});
        break;
    case 8:
        handle(WorkerDrain{id, draw(2) == 0});
        break;
    case 9:
        if (draw(4) == 0) {
            startOwner();
        }
        break;
    case 10:
        handle(QuotasChanged{{{"team0", {16'000, 32'768, 0}}, {"team1", {draw(8) * std::int64_t{1000}, 16'384, 1}}}});
        break;
    case 11:
    case 12:
        now_ += std::chrono::milliseconds(draw(20'000));
        break;
    case 13:
        reportUsage(id);
        break;
    case 14:
    case 15:
        endRandomTask(id);
        break;
    default:
        for (std::uint32_t count = draw(6); count > 0; --count) {
            deliverCommand(id);
            deliverReport(id);
        }
    }
    if (!workers_[id].connected && draw(2) == 0) {
        join(id);
    }
    decide();
    checkWorkers();
}

void World::checkWorkers() const
{
    std::set<Index> live;
    for (const FakeWorker &worker : workers_) {
        Resources sum;
        for (const auto &[task, running] : worker.running) {
            sum += running.limit;
            const bool onlyOne = live.insert({task.job, task.index}).second;
            RC_ASSERT(onlyOne);
        }
        RC_ASSERT(sum.fitsIn(worker.capacity));
    }
}

// Ends all faults. Each job must then end, unless it fits no worker; services are cancelled first.
void World::finishAfterFaults()
{
    faultsEnded_ = true;
    for (WorkerId id = 0; id < workers_.size(); ++id) {
        handle(WorkerDrain{id, false});
        handle(WorkerReachable{id});
        if (!workers_[id].connected) {
            join(id);
        }
    }
    for (auto &[id, share] : shares_) {
        share.neverFits = false;
        if (share.spec.kind == JobKind::Service && !share.cancelled) {
            share.cancelled = true;
            handle(JobCancelled{id});
        }
    }
    for (int round = 0; round < 400; ++round) {
        now_ += 30s;
        decide();
        for (WorkerId id = 0; id < workers_.size(); ++id) {
            while (!workers_[id].inbox.empty()) {
                deliverCommand(id);
                checkWorkers();
            }
            while (round % 2 == 1 && !workers_[id].running.empty()) {
                endRandomTask(id);
            }
            while (!workers_[id].reports.empty()) {
                deliverReport(id);
            }
        }
    }
    for (const auto &[id, share] : shares_) {
        const bool neverFits = planner_->explain(id).find("fits no VM") != std::string::npos;
        if (!share.ended && !neverFits) {
            RC_FAIL("job " + std::to_string(id) + ": " + planner_->explain(id));
        }
    }
}

} // namespace

// Random events and faults must not lead to an overcommitted worker, two live attempts or results of one task index, a
// restart of a non-repeatable task, a partly started gang, or a job that never ends.
// For more runs or a rerun, set RC_PARAMS="seed=N max_success=N" or use the "reproduce=" line of a failure.
RC_GTEST_PROP(PlannerState, guaranteesHoldUnderFaults, (std::uint64_t seed))
{
    const auto steps = *rc::gen::scale(4.0, rc::gen::arbitrary<std::vector<std::uint8_t>>());
    World world(seed);
    for (const std::uint8_t kind : steps) {
        world.step(kind);
    }
    world.finishAfterFaults();
}
