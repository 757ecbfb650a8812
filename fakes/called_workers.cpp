#include "fakes/called_workers.h"

#include "base/invariant.h"
#include "base/log.h"
#include "workflow/step_placer.h"

#include <algorithm>

namespace yuccawheel::fakes
{

using workflow::OrderOutcome;
using workflow::RunOutcome;
using workflow::TaskRef;

namespace
{

constexpr std::string_view Poison = "poison"; ///< Payload of a job whose tasks always fail.
constexpr std::size_t MaxListedEnds = 500; ///< A longer list of ends is cut short.

} // namespace

std::string
CalledWorkers::add(const std::string &id, std::int64_t milliCpu, const std::string &rack, base::TimePoint now)
{
    Worker worker;
    worker.identity = {id, nextBorn(now), "10.0.0.1:" + std::to_string(workers_.size() + 1), "service", "zone", {}, {}};
    worker.identity.capacity = {milliCpu, 1'000'000, 0};
    worker.identity.labels = {"kind", rack};
    worker.clockOffset =
        std::chrono::milliseconds(1'000 * static_cast<std::int64_t>(workers_.size() + 1)) - scaled(now);
    workers_[id] = worker;
    return id;
}

void CalledWorkers::restart(const std::string &id, base::TimePoint now)
{
    Worker &old = workers_.at(id);
    Worker worker;
    worker.identity = old.identity;
    worker.identity.born = nextBorn(now);
    worker.cut = old.cut;
    worker.earlierFence = std::max(old.fence, old.earlierFence);
    worker.clockOffset = -scaled(now);
    old = worker;
}

void CalledWorkers::restartElsewhere(const std::string &id, base::TimePoint now)
{
    restart(id, now);
    workers_.at(id).identity.address = "10.0.1.1:" + std::to_string(lastBorn_);
}

void CalledWorkers::crash(const std::string &id, base::TimePoint now)
{
    ++crashes_;
    Worker &worker = workers_.at(id);
    while (!worker.runs.empty()) {
        end(worker, worker.runs.begin()->first, RunOutcome::GangBroken);
    }
    const base::TimePoint restartsAt = now + options_.downTime;
    restart(id, restartsAt);
    worker.clockOffset = -scaled(now);
    worker.downUntil = restartsAt;
}

std::int64_t CalledWorkers::nextBorn(base::TimePoint now)
{
    const auto sinceEpoch = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
    lastBorn_ = std::max(lastBorn_ + 1, sinceEpoch.count());
    return lastBorn_;
}

void CalledWorkers::fail(const std::string &id, const TaskRef &task, const std::string &checkpoint)
{
    end(workers_.at(id), task, RunOutcome::Failed, checkpoint);
}

void CalledWorkers::setCapacity(const std::string &id,
                                const placement::Resources &capacity,
                                std::chrono::milliseconds notice,
                                base::TimePoint now)
{
    Worker &worker = workers_.at(id);
    if (capacity == worker.identity.capacity) {
        return; // It has shrunk before, and that notice goes on.
    }
    worker.earlierCapacity = worker.identity.capacity;
    worker.earlierCapacityUntil = now + notice;
    worker.identity.capacity = capacity;
}

std::chrono::milliseconds CalledWorkers::readClock(const Worker &worker, base::TimePoint now) const
{
    return scaled(now) + worker.clockOffset;
}

std::chrono::milliseconds CalledWorkers::scaled(base::TimePoint now) const
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(
        std::chrono::duration<double, std::milli>(now.time_since_epoch()).count() * options_.clockRate));
}

std::chrono::nanoseconds CalledWorkers::localTime(std::chrono::milliseconds length) const
{
    return std::chrono::nanoseconds(
        static_cast<std::int64_t>(static_cast<double>(length.count()) * 1e6 / options_.clockRate));
}

std::chrono::milliseconds CalledWorkers::runTimeOf(const TaskRef &task, const Worker &worker) const
{
    return options_.runTimeOf ? options_.runTimeOf(task, worker.identity.id) : options_.runTime;
}

TaskRef CalledWorkers::representativeOf(const TaskRef &task) const
{
    TaskRef first = task;
    if (jobs_.at(task.job).steps[task.step].gang) {
        first.index = 0;
    }
    return first;
}

void CalledWorkers::checkStart(const Worker &worker,
                               const workflow::StartOrder &order,
                               const workflow::StepSpec &spec,
                               base::TimePoint now) const
{
    placement::Resources used = workflow::reservationOf(spec);
    std::uint32_t tasksOfStep = 1;
    for (const auto &[task, run] : worker.runs) {
        used += workflow::reservationOf(run.spec);
        tasksOfStep += task.job == order.task.job && task.step == order.task.step ? 1 : 0;
    }
    const bool fits = used.fitsIn(worker.identity.capacity)
        || (now < worker.earlierCapacityUntil && used.fitsIn(worker.earlierCapacity));
    YW_INVARIANT(fits, "the runs on a worker must fit in its capacity");
    YW_INVARIANT(spec.maxPerWorker == 0 || tasksOfStep <= spec.maxPerWorker,
                 "a worker must not exceed the step's limit of tasks per worker");
    if (acknowledgedDone_.contains(representativeOf(order.task))) {
        base::logError("started_after_done")
            .with("task", toString(order.task))
            .with("run", order.run)
            .with("worker", worker.identity.id)
            .with("fence", order.fence);
    }
    YW_INVARIANT(!acknowledgedDone_.contains(representativeOf(order.task)),
                 "a task whose end was acknowledged must not start again");
    const bool listedHere =
        std::any_of(worker.ended.begin(), worker.ended.end(), [&](const workflow::EndedTask &ended) {
            return ended.outcome == RunOutcome::Done
                && representativeOf(*workflow::parseTaskRef(ended.task)) == representativeOf(order.task);
        });
    YW_INVARIANT(!listedHere, "a worker that lists a task as done must not be told to start it again");
    for (const auto &[id, other] : workers_) {
        const bool isRunning = other.runs.contains(order.task);
        YW_INVARIANT(!isRunning, "a task must not run on two workers at once");
    }
    for (const std::uint32_t earlier : spec.after) {
        const std::uint32_t count = jobs_.at(order.task.job).steps[earlier].count;
        for (std::uint32_t index = 0; index < count; ++index) {
            const TaskRef before = representativeOf({order.task.job, order.task.occurrence, earlier, index});
            YW_INVARIANT(done_.contains(before), "a step must not start before the steps that it depends on are done");
        }
    }
}

workflow::OrderAnswer
CalledWorkers::start(const std::string &id, const workflow::StartOrder &order, base::TimePoint now)
{
    Worker &worker = workers_.at(id);
    const auto clock = readClock(worker, now);
    if (order.fence < worker.fence) {
        return {OrderOutcome::StaleFence, clock};
    }
    worker.fence = order.fence;
    if (order.leaseUntil <= clock) {
        return {OrderOutcome::TooLate, clock};
    }
    const auto length = std::min(order.leaseUntil - clock, options_.lease);
    worker.leaseUntil = std::max(worker.leaseUntil, now + localTime(length));
    const auto endedRun = worker.highestEndedRun.find(order.task);
    if (endedRun != worker.highestEndedRun.end() && order.run <= endedRun->second) {
        return {OrderOutcome::OldRun, clock};
    }
    if (const auto there = worker.runs.find(order.task); there != worker.runs.end()) {
        YW_INVARIANT(order.run <= there->second.run, "a task must not be started again while a run of it is there");
        return {there->second.run == order.run ? OrderOutcome::Done : OrderOutcome::OldRun, clock};
    }
    const workflow::StepSpec &spec = jobs_.at(order.task.job).steps[order.task.step];
    checkStart(worker, order, spec, now);
    countStartAfterCrashes(order.task);
    startsAfterDone_ += done_.contains(representativeOf(order.task)) ? 1 : 0;
    for (const EndId &done : doneEndsByTask_[representativeOf(order.task)]) {
        const Worker &earlier = workers_.at(std::get<0>(done));
        if (earlier.identity.born == std::get<1>(done) && now < earlier.leaseUntil
            && std::get<2>(done) >= earlier.lapsedEnds) {
            supersededEnds_.insert(done);
        }
    }
    Worker::Run run;
    run.run = order.run;
    run.spec = spec;
    run.presentSince = now;
    run.working = !spec.gang;
    run.isResumed = !order.checkpoint.empty();
    run.endsAt = now
        + (order.checkpoint.empty() ? runTimeOf(order.task, worker)
                                    : std::chrono::milliseconds(std::stoll(order.checkpoint)));
    worker.runs[order.task] = run;
    ++starts_;
    return {OrderOutcome::Done, clock};
}

workflow::OrderAnswer CalledWorkers::stop(const std::string &id, const workflow::StopOrder &order, base::TimePoint now)
{
    Worker &worker = workers_.at(id);
    const auto clock = readClock(worker, now);
    if (order.fence < worker.fence) {
        return {OrderOutcome::StaleFence, clock};
    }
    worker.fence = order.fence;
    const auto there = worker.runs.find(order.task);
    if (there != worker.runs.end() && there->second.run <= order.run && !there->second.stopsAt) {
        there->second.stopsAt = now + options_.stopTime;
    }
    if (there != worker.runs.end() && there->second.stopsAt && now >= *there->second.stopsAt) {
        const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(there->second.endsAt - now).count();
        end(worker,
            order.task,
            RunOutcome::Stopped,
            there->second.spec.isResumable() ? std::to_string(remaining) : std::string());
    }
    std::uint32_t &endedRun = worker.highestEndedRun[order.task];
    endedRun = std::max(endedRun, order.run);
    return {OrderOutcome::Done, clock};
}

workflow::PollAnswer CalledWorkers::poll(const std::string &id, const workflow::PollOrder &order, base::TimePoint now)
{
    Worker &worker = workers_.at(id);
    workflow::PollAnswer answer;
    answer.number = order.number;
    answer.clock = readClock(worker, now);
    answer.born = worker.identity.born;
    if (order.fence < worker.fence) {
        answer.outcome = OrderOutcome::StaleFence;
        return answer;
    }
    answer.outcome = OrderOutcome::Done;
    worker.fence = order.fence;
    if (order.leaseUntil) {
        const auto length = std::min(*order.leaseUntil - *answer.clock, options_.lease);
        worker.leaseUntil = std::max(worker.leaseUntil, now + localTime(length));
    }
    std::erase_if(worker.ended, [&](const workflow::EndedTask &ended) {
        const bool isAcknowledged = ended.number <= order.acknowledged;
        if (isAcknowledged && ended.outcome == RunOutcome::Done) {
            const TaskRef task = representativeOf(*workflow::parseTaskRef(ended.task));
            if (supersededEnds_.contains({id, worker.identity.born, ended.number})) {
                base::logError("superseded_end_acknowledged")
                    .with("task", ended.task)
                    .with("run", ended.run)
                    .with("worker", id)
                    .with("number", ended.number)
                    .with("acknowledged", order.acknowledged)
                    .with("fence", order.fence);
            }
            YW_INVARIANT(!supersededEnds_.contains({id, worker.identity.born, ended.number}),
                         "the end of a task that was started again must not be acknowledged");
            acknowledgedDone_.insert(task);
        }
        return isAcknowledged;
    });
    const std::size_t listed = std::min(worker.ended.size(), MaxListedEnds);
    answer.ended.assign(worker.ended.begin(), worker.ended.begin() + static_cast<std::ptrdiff_t>(listed));
    answer.areAllEndsListed = listed < MaxListedEnds;
    answer.isComplete = answer.areAllEndsListed;
    for (const auto &[task, run] : worker.runs) {
        const auto ran = std::chrono::duration_cast<std::chrono::milliseconds>(now - run.presentSince);
        const std::uint32_t progress = (run.isResumed ? options_.progressOfCheckpoint : 0)
            + (run.working && ran > std::chrono::milliseconds{10} ? 1 : 0);
        answer.running.push_back({toString(task), run.run, {}, progress});
    }
    return answer;
}

// A working gang ends as a whole: once one member ends, so do the others.
void CalledWorkers::end(Worker &worker, const TaskRef &task, RunOutcome outcome, const std::string &checkpoint)
{
    const std::uint32_t run = worker.runs.at(task).run;
    const bool gang = worker.runs.at(task).working && worker.runs.at(task).spec.gang;
    endOne(worker, task, outcome, checkpoint);
    for (auto &[id, other] : workers_) {
        std::vector<TaskRef> members;
        for (const auto &[member, there] : other.runs) {
            if (gang && member.job == task.job && member.step == task.step && there.run == run && there.working) {
                members.push_back(member);
            }
        }
        for (const TaskRef &member : members) {
            endOne(other, member, outcome == RunOutcome::Done ? RunOutcome::Done : RunOutcome::GangBroken);
        }
    }
}

void CalledWorkers::endOne(Worker &worker, const TaskRef &task, RunOutcome outcome, const std::string &checkpoint)
{
    const std::uint32_t run = worker.runs.at(task).run;
    worker.runs.erase(task);
    std::uint32_t &endedRun = worker.highestEndedRun[task];
    endedRun = std::max(endedRun, run);
    if (outcome == RunOutcome::Done) {
        done_.insert(representativeOf(task));
        doneEndsByTask_[representativeOf(task)].emplace_back(worker.identity.id, worker.identity.born, worker.nextEnd);
    }
    worker.ended.push_back({worker.nextEnd++, toString(task), run, outcome, checkpoint});
    incompleteGangEnds_ += outcome == RunOutcome::GangIncomplete ? 1 : 0;
}

// A gang starts working when all of its members of one run are present.
void CalledWorkers::startGangs(base::TimePoint now)
{
    std::map<std::tuple<workflow::JobKey, std::uint32_t, std::uint32_t>, std::vector<Worker::Run *>> gangs;
    for (auto &[id, worker] : workers_) {
        for (auto &[task, run] : worker.runs) {
            if (run.spec.gang && !run.working) {
                gangs[{task.job, task.step, run.run}].push_back(&run);
            }
        }
    }
    for (auto &[key, members] : gangs) {
        if (members.size() == members.front()->spec.count) {
            for (Worker::Run *member : members) {
                member->working = true;
                member->endsAt += now - member->presentSince;
            }
        }
    }
}

void CalledWorkers::countStartAfterCrashes(const TaskRef &task)
{
    constexpr std::uint32_t MaxCrashes = 3;
    constexpr std::uint32_t MaxStarts = 2;
    const auto crashes = crashesByTask_.find(task);
    if (crashes != crashesByTask_.end() && crashes->second >= MaxCrashes) {
        YW_INVARIANT(++startsAfterCrashes_[task] <= MaxStarts,
                     "a task that has crashed three workers must not start three times more");
    }
}

void CalledWorkers::crashWorkers(base::TimePoint now)
{
    if (!options_.crashes) {
        return;
    }
    std::set<std::string> crashed;
    for (const auto &[id, worker] : workers_) {
        for (const auto &[task, run] : worker.runs) {
            if (run.working && now >= run.presentSince + options_.crashDelay && options_.crashes(task)) {
                ++crashesByTask_[task];
                crashed.insert(id);
            }
        }
    }
    for (const std::string &id : crashed) {
        crash(id, now);
    }
}

void CalledWorkers::step(base::TimePoint now)
{
    startGangs(now);
    crashWorkers(now);
    for (auto &[id, worker] : workers_) {
        if (now >= worker.leaseUntil) {
            worker.lapsedEnds = worker.nextEnd;
        }
        std::vector<std::pair<TaskRef, RunOutcome>> due;
        for (const auto &[task, run] : worker.runs) {
            const bool poisoned = jobs_.at(task.job).payload == Poison;
            if (run.stopsAt && now >= *run.stopsAt) {
                due.emplace_back(task, RunOutcome::Stopped);
            } else if (now >= worker.leaseUntil) {
                due.emplace_back(task, RunOutcome::LeaseExpired);
            } else if (run.working && now >= run.endsAt) {
                due.emplace_back(task, poisoned || worker.failsAll ? RunOutcome::Failed : RunOutcome::Done);
            } else if (!run.working && now >= run.presentSince + options_.gangTimeout) {
                due.emplace_back(task, RunOutcome::GangIncomplete);
            }
        }
        for (const auto &[task, outcome] : due) {
            const auto run = worker.runs.find(task);
            if (run == worker.runs.end()) {
                continue;
            }
            const bool keepsProgress = outcome == RunOutcome::Stopped && run->second.spec.isResumable();
            const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(run->second.endsAt - now).count();
            end(worker, task, outcome, keepsProgress ? std::to_string(remaining) : std::string());
        }
    }
}

workflow::WorkerReport CalledWorkers::report(const std::string &id, base::TimePoint now)
{
    Worker &worker = workers_.at(id);
    workflow::WorkerReport report;
    report.worker = worker.identity;
    report.clock = readClock(worker, now);
    report.sequence = ++worker.sequence;
    report.draining = worker.isDraining;
    return report;
}

workflow::WorkerReport CalledWorkers::finalReport(const std::string &id) const
{
    workflow::WorkerReport report;
    report.worker = workers_.at(id).identity;
    report.leaving = true;
    return report;
}

std::size_t CalledWorkers::running() const
{
    std::size_t count = 0;
    for (const auto &[id, worker] : workers_) {
        count += worker.runs.size();
    }
    return count;
}

} // namespace yuccawheel::fakes
