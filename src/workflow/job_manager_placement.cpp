#include "base/log.h"
#include "workflow/job_manager.h"
#include "workflow/room_maker.h"

#include <fmt/core.h>

#include <algorithm>

namespace yuccawheel::workflow
{

namespace
{

// The objective of a job allows for one question about so many workers at each step.
constexpr std::size_t WorkersPerQuestion = 30;
constexpr std::size_t MostWorkersPerQuestion = 100; ///< The service takes no more.
constexpr std::chrono::milliseconds QuestionRetry{100}; ///< After a question without an answer.
constexpr std::chrono::milliseconds QuestionSlack{800}; ///< Beyond the service's time: a call of an earlier leader.
constexpr std::chrono::milliseconds RelaySlack{500}; ///< Wait for an answer that a machine was to pass on.
constexpr std::chrono::milliseconds RelayDelay{50}; ///< Longest way of an answer on a calm network, from the service.
constexpr std::chrono::milliseconds TicketMargin{150}; ///< A ticket that expires sooner is asked for again.
constexpr std::chrono::milliseconds LoadReportInterval{1'000}; ///< The finest step of the metrics that are collected.
constexpr double MostClaimed = 0.25; ///< Of all processors: what may lie idle for gangs that wait.
constexpr std::chrono::milliseconds RoomKeptFor{900}; ///< A stop, its end in the log, and a retry of a lost order.
constexpr double FirstGoodShare = 0.5; ///< Before any answer.
constexpr double GoodShareWeight = 0.1; ///< Of the newest answer in the average.
constexpr double SpareWorkers = 1.5; ///< Workers asked about for each that is expected to be needed.

std::string stepName(JobKey key, const JobRecord &job, std::size_t position)
{
    const std::size_t steps = job.spec.steps.size();
    return fmt::format("{:016x}.{}.{}", key, position / steps, position % steps);
}

} // namespace

void JobManager::reserve(const TaskRef &task,
                         WorkerNumber worker,
                         const placement::Resources &amount,
                         std::string ticket)
{
    ledger_.reserve(worker, amount);
    reservations_[task] = {worker, amount, std::move(ticket)};
}

void JobManager::unreserve(const TaskRef &task)
{
    const auto found = reservations_.find(task);
    if (found != reservations_.end()) {
        ledger_.release(found->second.worker, found->second.amount);
        reservations_.erase(found);
    }
}

std::vector<std::uint32_t> JobManager::waitingTasks(const JobRecord &job, StepKey key) const
{
    std::vector<std::uint32_t> waiting;
    const StepRecord &step = job.steps[key.position];
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
        if (step.tasks[index].phase == TaskPhase::Waiting
            && !reservations_.contains(job.refOf(key.job, key.position, index))) {
            waiting.push_back(index);
        }
    }
    // A gang starts as one, and not before every member of its last run has ended.
    if (job.specOf(key.position).gang && waiting.size() != step.tasks.size()) {
        waiting.clear();
    }
    return waiting;
}

std::map<WorkerNumber, std::uint32_t> JobManager::tasksByWorker(const JobRecord &job, StepKey key) const
{
    std::map<WorkerNumber, std::uint32_t> there;
    if (job.specOf(key.position).maxPerWorker == 0) {
        return there;
    }
    const TaskRef first = job.refOf(key.job, key.position, 0);
    const TaskRef last = job.refOf(key.job, key.position, UINT32_MAX);
    for (auto task = reservations_.lower_bound(first); task != reservations_.upper_bound(last); ++task) {
        ++there[task->second.worker];
    }
    return there;
}

void JobManager::dispatch(base::TimePoint now)
{
    if (!mayAct(now)) {
        return;
    }
    std::vector<std::pair<Rank, StepKey>> order;
    order.reserve(steps_.size());
    for (const auto &[key, step] : steps_) {
        const JobRecord &job = *state_->findJob(key.job);
        order.emplace_back(rankOf(key.job, job, key.position, arrivals_.at(key.job), now), key);
    }
    std::sort(order.begin(), order.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
    RoomClaims claims(claimLimit());
    StartsEntry starts;
    for (const auto &[rank, key] : order) {
        placeStep(key, steps_.at(key), rank.hope, now, claims, starts);
    }
    if (!starts.starts.empty() && !port_.propose(starts)) {
        for (const StartsEntry::Start &start : starts.starts) {
            unreserve(start.task);
        }
    }
    reportLoad(claims, now);
}

// What a job that waits is up against: says whether there was no room, or room that it could not use.
void JobManager::reportLoad(const RoomClaims &claims, base::TimePoint now)
{
    if (now < nextLoadReport_) {
        return;
    }
    nextLoadReport_ = now + LoadReportInterval;
    std::size_t waitingTaskCount = 0;
    std::size_t waitingGangs = 0;
    for (const auto &[key, step] : steps_) {
        const JobRecord &job = *state_->findJob(key.job);
        const std::size_t waiting = waitingTasks(job, key).size();
        waitingTaskCount += waiting;
        waitingGangs += waiting > 0 && job.specOf(key.position).gang ? 1 : 0;
    }
    base::logInfo("load")
        .with("workers", workers_.size())
        .with("millicores", ledger_.totalCapacity().milliCpu)
        .with("reserved_millicores", ledger_.totalReserved().milliCpu)
        .with("kept_millicores", claims.total().milliCpu)
        .with("waiting_tasks", waitingTaskCount)
        .with("waiting_gangs", waitingGangs)
        .with("questions", questions_.size());
}

placement::Resources JobManager::claimLimit() const
{
    const placement::Resources &total = ledger_.totalCapacity();
    return {static_cast<std::int64_t>(static_cast<double>(total.milliCpu) * MostClaimed), 0, 0};
}

void JobManager::placeStep(
    StepKey key, StepRun &step, Rank::Hope hope, base::TimePoint now, RoomClaims &claims, StartsEntry &starts)
{
    const JobRecord &job = *state_->findJob(key.job);
    const std::uint32_t occurrence = static_cast<std::uint32_t>(key.position / job.spec.steps.size());
    if (job.spec.occurrences > 0 && wall_ < job.spec.startAt + job.spec.interval * occurrence) {
        return;
    }
    std::vector<std::uint32_t> waiting = waitingTasks(job, key);
    if (waiting.empty()) {
        return;
    }
    const StepSpec &spec = job.specOf(key.position);
    const StepEligibility *const eligibility = job.policy.eligibility ? &step.eligibility : nullptr;
    const bool mayMakeRoom = spec.gang && hope == Rank::Hope::OnTime;
    const StepPlacer::Request request{
        job, key.position, waiting, eligibility, tasksByWorker(job, key), hurryOf(job), mayMakeRoom};
    const StepPlacer placer(workers_, ledger_, claims, pace_, now);
    const std::vector<Assignment> assignments = placer.place(request);
    const std::vector<TaskRecord> &tasks = job.steps[key.position].tasks;
    std::uint32_t lastRun = 0;
    for (const TaskRecord &task : tasks) {
        lastRun = std::max(lastRun, task.run);
    }
    for (const Assignment &assignment : assignments) {
        const TaskRef task = job.refOf(key.job, key.position, assignment.index);
        const Ticket *const ticket = eligibility == nullptr
            ? nullptr
            : eligibility->ticket(assignment.worker, now, std::chrono::milliseconds{0});
        reserve(task, assignment.worker, reservationOf(spec), ticket == nullptr ? std::string() : ticket->text);
        // The members of a gang share the number of their run.
        const std::uint32_t run = (spec.gang ? lastRun : tasks[assignment.index].run) + 1;
        starts.starts.push_back({task, run, assignment.worker});
        base::logInfo("task_placed")
            .with("task", toString(task))
            .with("run", run)
            .with("worker", workers_.at(assignment.worker).identity.id)
            .with("free_millicores", ledger_.free(assignment.worker).milliCpu)
            .with("waited_ms",
                  std::chrono::duration_cast<std::chrono::milliseconds>(now - arrivals_.at(key.job)).count());
    }
    std::erase_if(waiting, [&assignments](std::uint32_t index) {
        return std::any_of(assignments.begin(), assignments.end(), [index](const Assignment &assignment) {
            return assignment.index == index;
        });
    });
    if (!waiting.empty() && eligibility != nullptr && !step.asking && now >= step.nextQuestion
        && machines_.choose(job.policy.eligibility->perCall, now)) {
        askFor(placer, request, key, step, now);
    }
    if (!waiting.empty() && spec.gang) {
        gatherRoom(placer, request, key, step, claims, now);
    }
}

// While its workers make room for a gang, that room is kept from everybody. Otherwise the room where it is likely to
// start is kept from all but those that can give way to it.
void JobManager::gatherRoom(const StepPlacer &placer,
                            const StepPlacer::Request &request,
                            StepKey key,
                            StepRun &step,
                            RoomClaims &claims,
                            base::TimePoint now)
{
    if (now >= step.roomMadeUntil) {
        const RoomMaker maker(workers_, *state_, now);
        const auto plan = request.mayMakeRoom ? maker.plan(placer, request) : std::nullopt;
        if (!plan) {
            placer.claimFor(request, claims);
            return;
        }
        for (const RoomMaker::Stop &stop : plan->stops) {
            WorkerView &worker = workers_.at(stop.worker);
            LiveRun &run = worker.runs.at(stop.task);
            base::logInfo("task_preempted")
                .with("task", toString(stop.task))
                .with("run", run.run)
                .with("worker", worker.identity.id)
                .with("to", toString(key.job));
            stopRun(run, now);
            reviewRun(stop.worker, worker, stop.task, run, now);
        }
        step.roomMade = plan->room;
        step.roomMadeUntil = now + RoomKeptFor;
    }
    const placement::Resources amount = reservationOf(request.job.specOf(request.position));
    for (const auto &[worker, tasks] : step.roomMade) {
        const placement::Resources kept = placement::elementwiseMin(amount * tasks, ledger_.free(worker));
        claims.hold(worker, kept);
    }
}

// Says which workers to ask about now. Tickets of good workers that have room are renewed together, so that they are
// valid at the same time. Others are asked about as far as the good ones have not enough room. Before anything is known
// it does not matter which have room now: which ones may run the step does not change, and room comes and goes.
std::vector<WorkerNumber>
JobManager::workersToAsk(const StepPlacer &placer, const StepPlacer::Request &request, StepKey key, base::TimePoint now)
{
    struct Candidate {
        WorkerNumber worker = 0;
        std::uint32_t room = 0;
    };
    const StepEligibility &eligibility = *request.eligibility;
    const std::size_t needed = request.waiting.size();
    const RoomMaker maker(workers_, *state_, now);
    std::vector<WorkerNumber> goodWithRoom;
    std::vector<Candidate> fresh;
    std::size_t roomOnGood = 0;
    bool nothingKnown = true;
    bool expired = false;
    for (const auto &[number, worker] : workers_) {
        if (!placer.suits(request, number, worker)) {
            continue;
        }
        const std::uint32_t room =
            request.mayMakeRoom ? maker.mostRoom(placer, request, number) : placer.roomFor(request, number);
        if (!eligibility.isKnown(number)) {
            fresh.push_back({number, room});
            continue;
        }
        nothingKnown = false;
        if (eligibility.isGood(number) && room > 0) {
            goodWithRoom.push_back(number);
            roomOnGood += room;
            expired = expired || eligibility.ticket(number, now, TicketMargin) == nullptr;
        }
    }
    const bool partly = !request.job.specOf(request.position).gang;
    std::vector<WorkerNumber> asked;
    if (expired && (roomOnGood >= needed || partly)) {
        asked = goodWithRoom;
    }
    if (roomOnGood < needed) {
        const double share = goodShare_.try_emplace(request.job.policy.queue, FirstGoodShare).first->second;
        // Steps that arrive together must not all ask about, and then crowd, the same workers.
        const auto scatter = [&key](WorkerNumber worker) {
            return (key.job ^ worker) * 0x9e3779b97f4a7c15ULL;
        };
        const auto roomy = [needed](const Candidate &candidate) {
            return std::min<std::size_t>(candidate.room, needed);
        };
        std::sort(fresh.begin(), fresh.end(), [&](const Candidate &left, const Candidate &right) {
            return std::tuple(roomy(right), scatter(left.worker)) < std::tuple(roomy(left), scatter(right.worker));
        });
        std::vector<WorkerNumber> chosen;
        double expected = static_cast<double>(roomOnGood);
        for (const Candidate &candidate : fresh) {
            // Most of a call's time is spent whatever it names, so the first one names many.
            const bool enough = !nothingKnown && expected >= static_cast<double>(needed) * SpareWorkers;
            if (chosen.size() >= WorkersPerQuestion || (!nothingKnown && candidate.room == 0) || enough) {
                break;
            }
            chosen.push_back(candidate.worker);
            expected += share * candidate.room;
        }
        if (!chosen.empty()) {
            asked = goodWithRoom;
            asked.insert(asked.end(), chosen.begin(), chosen.end());
        }
    }
    if (asked.size() > MostWorkersPerQuestion) {
        asked.resize(MostWorkersPerQuestion);
    }
    return asked;
}

void JobManager::askFor(
    const StepPlacer &placer, const StepPlacer::Request &request, StepKey key, StepRun &step, base::TimePoint now)
{
    const std::vector<WorkerNumber> asked = workersToAsk(placer, request, key, now);
    if (!asked.empty()) {
        ask(request, key, step, asked, now);
    }
}

void JobManager::ask(const StepPlacer::Request &request,
                     StepKey key,
                     StepRun &step,
                     const std::vector<WorkerNumber> &asked,
                     base::TimePoint now)
{
    const auto cost = costOf(*request.job.policy.eligibility, asked.size());
    const auto machine = machines_.choose(cost, now);
    if (!machine) {
        return; // Tried again in the next round, in the order of then.
    }
    const std::uint64_t number = nextQuestion_++;
    EligibilityQuery question;
    question.number = number;
    question.gateway = *machine;
    question.step = stepName(key.job, request.job, key.position);
    for (const WorkerNumber worker : asked) {
        question.workers.push_back(workers_.at(worker).identity.id);
    }
    question.timeout =
        machines_.backlog(*machine, now) + std::chrono::ceil<std::chrono::milliseconds>(cost) + QuestionSlack;
    questions_[number] = {key,
                          *machine,
                          asked,
                          cost,
                          request.job.policy.eligibility->validFor,
                          request.job.policy.queue,
                          now + question.timeout + RelaySlack};
    step.asking = true;
    machines_.started(*machine, cost, now);
    port_.queryEligibility(question);
}

void JobManager::removeGateway(EligibilityGateways::Machine machine, base::TimePoint now)
{
    machines_.remove(machine);
    giveUpQuestions([machine](const Question &question) { return question.machine == machine; }, now);
}

template <typename IsLost>
void JobManager::giveUpQuestions(IsLost isLost, base::TimePoint now)
{
    std::vector<std::uint64_t> lost;
    for (const auto &[number, question] : questions_) {
        if (isLost(question)) {
            lost.push_back(number);
        }
    }
    for (const std::uint64_t number : lost) {
        onEligibilityAnswer(number, std::nullopt, now);
    }
}

// An answer may get lost on its way through a machine that lives on.
void JobManager::giveUpLateQuestions(base::TimePoint now)
{
    giveUpQuestions([now](const Question &question) { return now >= question.deadline; }, now);
}

void JobManager::onEligibilityAnswer(std::uint64_t number, const EligibilityRows &rows, base::TimePoint now)
{
    auto node = questions_.extract(number);
    if (node.empty()) {
        return;
    }
    const Question &question = node.mapped();
    if (rows) {
        machines_.answered(question.machine, question.cost, now);
    } else {
        machines_.unanswered(question.machine, question.cost, now);
    }
    dispatchDue_ = true; // Other steps may wait for this machine.
    const auto found = steps_.find(question.step);
    if (found == steps_.end()) {
        return;
    }
    StepRun &step = found->second;
    step.asking = false;
    if (!rows) {
        step.nextQuestion = now + QuestionRetry;
        base::logWarning("eligibility_unanswered")
            .with("job", toString(question.step.job))
            .with("workers", question.workers.size());
        return;
    }
    std::map<WorkerNumber, Ticket> good;
    for (const auto &[id, ticket] : *rows) {
        for (const WorkerNumber worker : question.workers) {
            const auto view = workers_.find(worker);
            if (view != workers_.end() && view->second.identity.id == id) {
                good[worker] = {ticket, now + question.validFor - RelayDelay};
            }
        }
    }
    double &share = goodShare_.try_emplace(question.queue, FirstGoodShare).first->second;
    const double seen = static_cast<double>(good.size()) / static_cast<double>(question.workers.size());
    share += GoodShareWeight * (seen - share);
    step.eligibility.learned(question.workers, good);
    base::logInfo("eligibility_learned")
        .with("job", toString(question.step.job))
        .with("step", question.step.position)
        .with("asked", question.workers.size())
        .with("good", good.size());
}

} // namespace yuccawheel::workflow
