#include "fakes/manager_cluster.h"

#include "base/invariant.h"

#include <fmt/core.h>

#include <algorithm>
#include <limits>

namespace yuccawheel::fakes
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using workflow::OrderOutcome;

namespace
{

constexpr coordination::ClusterId TestCluster = 7;
constexpr milliseconds Delay{2}; ///< Of messages to and from workers and callers.
constexpr milliseconds OrderTimeout{700};
constexpr milliseconds ReportInterval{1'500};
constexpr milliseconds LeaveInterval{1'000}; ///< Between the last reports of a worker that leaves.
constexpr milliseconds MaxLeaveTime{4'000}; ///< A worker that leaves ends then without an acknowledgement.
constexpr milliseconds LogTickInterval{50};
constexpr milliseconds ReviewInterval{50};
constexpr milliseconds DispatchDelay{5};
constexpr milliseconds MaxStep{5}; ///< Resolution of the workers' ends.
constexpr milliseconds OpenRetryInterval{200};
constexpr milliseconds JobRetention{120'000}; ///< From a job's end; its state can be read meanwhile.
constexpr std::size_t MaxEntriesPerStep = 1'000;
constexpr std::uint64_t DiskReserveBytes = 16'384;
constexpr char Host[] = "host";
constexpr char Prefix[] = "/queue/";

} // namespace

/// What ends with a manager's process.
struct ManagerCluster::Process {
    explicit Process(workflow::CorePort &port, milliseconds gangTimeout)
        : core(port, workflow::ManagerLimits{10s, 700ms, gangTimeout})
    {
    }

    struct Output {
        base::TimePoint readyAt{};
        std::vector<coordination::Message> messages;
        workflow::LogOutput log;
    };

    std::unique_ptr<coordination::FileLogStorage> storage;
    std::unique_ptr<coordination::Replica> replica;
    workflow::ManagerCore core;
    std::deque<std::pair<std::uint64_t, std::string>> proposals; ///< Handed to the log.
    std::vector<coordination::Message> inbox;
    std::vector<workflow::ProposalResult> results;
    std::deque<Output> outputs; ///< Of the log, not handled yet.
    std::deque<std::function<void()>> calls; ///< Answers and requests that wait for the end of a pause.
    std::map<std::string, std::int64_t>
        connections; ///< By worker id: incarnation that the connection is known to reach.
    bool handOver = false;
    bool isStateRequested = false;
    coordination::Index requestedIndex = 0;
    std::optional<std::string> requestedState;
    base::TimePoint nextLogTick{};
    base::TimePoint nextReview{};
    base::TimePoint nextTick{};
};

struct ManagerCluster::Node : public workflow::CorePort {
    Node(ManagerCluster &owner, std::uint32_t ownNumber) : cluster(owner), number(ownNumber)
    {
    }

    bool pushProposal(std::uint64_t id, std::string data) override
    {
        process->proposals.emplace_back(id, std::move(data));
        return true;
    }
    void onLeading() override
    {
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
        cluster.checkStart(identity, order);
        cluster.order(
            *this,
            identity,
            [this, id = identity.id, order] { return cluster.workers_.start(id, order, cluster.now_); },
            [this, worker, order](const workflow::OrderAnswer &answer) {
                process->core.jobs().onStartAnswer(worker, order.task, order.run, answer, cluster.localTime(*this));
            });
    }
    void stop(workflow::WorkerNumber worker,
              const workflow::WorkerIdentity &identity,
              const workflow::StopOrder &order) override
    {
        cluster.order(
            *this,
            identity,
            [this, id = identity.id, order] { return cluster.workers_.stop(id, order, cluster.now_); },
            [this, worker, order](const workflow::OrderAnswer &answer) {
                process->core.jobs().onStopAnswer(worker, order.task, order.run, answer, cluster.localTime(*this));
            });
    }
    void poll(workflow::WorkerNumber worker,
              const workflow::WorkerIdentity &identity,
              const workflow::PollOrder &order) override
    {
        PendingPoll poll{number, generation, worker, identity, order, 0, cluster.now_ + Delay, {}};
        poll.born = cluster.workers_.worker(identity.id).identity.born;
        poll.answerBy = poll.arrivesAt + order.wait;
        // Only a connection that is known to reach this incarnation acknowledges its ends.
        const auto known = process->connections.find(identity.id);
        const bool isKnown =
            known != process->connections.end() && known->second == identity.born && poll.born == identity.born;
        poll.order.acknowledged = isKnown ? order.acknowledged : 0;
        cluster.polls_.push_back(poll);
    }
    void queryEligibility(const workflow::EligibilityQuery &query) override
    {
        static_cast<void>(query);
    }
    void forget(const workflow::WorkerIdentity &identity) override
    {
        process->connections.erase(identity.id);
    }

    ManagerCluster &cluster;
    std::uint32_t number;
    std::unique_ptr<FakeDisk> disk;
    std::unique_ptr<Process> process;
    std::uint64_t generation = 0; ///< Increases with each process.
    base::TimePoint pausedUntil{};
    base::TimePoint stalledUntil{}; ///< The disk takes no operations before.
    bool isDiskFull = false;
    double clockRate = 1;
};

ManagerCluster::ManagerCluster(const Options &options)
    : options_(options)
    , random_(options.seed)
    , network_(options.seed + 1)
    , workers_(options.workers)
{
    network_.setFaults({0, 0, 1ms, 3ms});
    coordination::ReplicaSet set;
    for (std::uint32_t number = 1; number <= options_.managers; ++number) {
        set.members.push_back({{number, 1}, true});
    }
    for (std::uint32_t number = 1; number <= options_.managers + options_.spares; ++number) {
        auto node = std::make_unique<Node>(*this, number);
        node->disk = std::make_unique<FakeDisk>(options_.seed * 31 + number);
        if (number <= options_.managers) {
            coordination::FileLogStorage storage(*node->disk);
            const auto formed = coordination::Replica::formCluster(storage, TestCluster, {number, 1}, set);
            YW_INVARIANT(formed.has_value(), "the disk of a new replica must be empty");
        }
        nodes_[number] = std::move(node);
        start(number);
    }
    changeConfiguration();
}

ManagerCluster::~ManagerCluster() = default;

bool ManagerCluster::chance(double share)
{
    return share > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

milliseconds ManagerCluster::randomTime(milliseconds least, milliseconds most)
{
    return least + milliseconds(random_() % static_cast<std::uint64_t>((most - least).count() + 1));
}

base::TimePoint ManagerCluster::localTime(const Node &node) const
{
    return base::TimePoint(std::chrono::duration_cast<base::Duration>(now_.time_since_epoch() * node.clockRate));
}

workflow::WallTime ManagerCluster::wall() const
{
    return std::chrono::duration_cast<workflow::WallTime>(now_.time_since_epoch());
}

std::vector<std::uint32_t> ManagerCluster::numbers() const
{
    std::vector<std::uint32_t> result;
    for (const auto &[number, node] : nodes_) {
        result.push_back(number);
    }
    return result;
}

std::vector<std::string> ManagerCluster::workerIds()
{
    std::vector<std::string> result;
    for (const auto &[id, worker] : workers_.all()) {
        result.push_back(id);
    }
    return result;
}

bool ManagerCluster::isRunning(std::uint32_t manager) const
{
    return nodes_.at(manager)->process != nullptr;
}

std::uint32_t ManagerCluster::leader() const
{
    std::uint32_t leader = 0;
    coordination::Term highest = 0;
    for (const auto &[number, node] : nodes_) {
        if (node->process && node->process->core.jobs().isLeading() && node->process->core.status().term > highest) {
            highest = node->process->core.status().term;
            leader = number;
        }
    }
    return leader;
}

const workflow::ManagerCore *ManagerCluster::leadingCore() const
{
    const std::uint32_t number = leader();
    return number == 0 ? nullptr : &nodes_.at(number)->process->core;
}

coordination::ReplicaSettings ManagerCluster::settingsOf(std::uint32_t manager)
{
    coordination::ReplicaSettings settings;
    settings.log.self = {manager, nextGeneration_++};
    settings.log.seed = options_.seed * 1'000 + nextGeneration_;
    settings.log.openMembership = true;
    settings.log.leaderLease = true;
    settings.log.maxVoters = options_.managers;
    settings.log.maxLearners = 4;
    settings.log.replaceSilentAfter = 3s;
    settings.log.electionTimeout = 700ms;
    settings.log.electionJitter = 500ms;
    settings.log.retainedBytes = 20'000;
    settings.log.snapshotChunkBytes = 4'000;
    settings.log.snapshotWindowBytes = 16'000;
    settings.diskReserveBytes = DiskReserveBytes;
    settings.snapshotThresholdBytes = 60'000;
    for (std::uint32_t number = 1; number <= options_.managers; ++number) {
        settings.log.nodes.push_back(number);
    }
    return settings;
}

void ManagerCluster::start(std::uint32_t manager)
{
    Node &node = *nodes_.at(manager);
    YW_INVARIANT(!node.process, "a manager must not be started twice");
    ++node.generation;
    node.clockRate =
        1 + std::uniform_real_distribution<double>(-options_.maxClockDeviation, options_.maxClockDeviation)(random_);
    node.process = std::make_unique<Process>(node, options_.workers.gangTimeout);
    openLog(node);
}

// Opening needs space, so it is tried again while there is none.
void ManagerCluster::openLog(Node &node)
{
    try {
        Process &process = *node.process;
        process.storage =
            std::make_unique<coordination::FileLogStorage>(*node.disk, coordination::FileLogSettings{50'000, 2});
        auto replica = coordination::Replica::start(settingsOf(node.number), *process.storage, localTime(node));
        if (replica) {
            process.replica = std::move(*replica);
            return;
        }
        YW_INVARIANT(replica.error().failure == coordination::StorageFailure::NoSpace, "a log must open");
        process.storage.reset();
        schedule(node, now_ + OpenRetryInterval, [this, &node] { openLog(node); });
    } catch (const ProcessKilled &) {
        stop(node);
    }
}

void ManagerCluster::stop(Node &node)
{
    node.process.reset();
    ++node.generation;
    node.pausedUntil = {};
    node.disk->clearFaults();
    setDiskFull(node.number, node.isDiskFull);
}

void ManagerCluster::kill(std::uint32_t manager)
{
    stop(*nodes_.at(manager));
}

void ManagerCluster::losePower(std::uint32_t manager)
{
    stop(*nodes_.at(manager));
    nodes_.at(manager)->disk->losePower();
}

void ManagerCluster::loseDisk(std::uint32_t manager)
{
    Node &node = *nodes_.at(manager);
    stop(node);
    node.disk = std::make_unique<FakeDisk>(options_.seed * 37 + nextGeneration_++);
    node.isDiskFull = false;
}

void ManagerCluster::pause(std::uint32_t manager, milliseconds duration)
{
    nodes_.at(manager)->pausedUntil = now_ + duration;
}

void ManagerCluster::stallDisk(std::uint32_t manager, milliseconds duration)
{
    Node &node = *nodes_.at(manager);
    node.stalledUntil = std::max(node.stalledUntil, now_ + duration);
}

void ManagerCluster::setDiskFull(std::uint32_t manager, bool full)
{
    Node &node = *nodes_.at(manager);
    node.isDiskFull = full;
    node.disk->setCapacity(full ? node.disk->usedBytes() : std::numeric_limits<std::uint64_t>::max());
}

void ManagerCluster::killDuringWrite(std::uint32_t manager)
{
    nodes_.at(manager)->disk->killAfter(random_() % 20);
}

void ManagerCluster::handOver(std::uint32_t manager)
{
    if (const auto &process = nodes_.at(manager)->process) {
        process->handOver = true;
    }
}

void ManagerCluster::cutOff(std::uint32_t manager, const std::string &worker, bool orders, bool answers)
{
    if (orders) {
        cutLinks_.emplace(manager, worker, true);
    }
    if (answers) {
        cutLinks_.emplace(manager, worker, false);
    }
}

bool ManagerCluster::isCut(std::uint32_t manager, const std::string &worker, bool orders) const
{
    return cutLinks_.contains({manager, worker, orders});
}

void ManagerCluster::schedule(Node &node, base::TimePoint at, std::function<void()> callback)
{
    events_.emplace(at, [&node, generation = node.generation, callback = std::move(callback)] {
        if (node.process && node.generation == generation) {
            node.process->calls.push_back(callback);
        }
    });
}

void ManagerCluster::run(milliseconds duration)
{
    for (const base::TimePoint end = now_ + duration; now_ < end;) {
        step();
    }
}

base::TimePoint ManagerCluster::nextEventAt() const
{
    base::TimePoint next = now_ + MaxStep;
    if (!events_.empty()) {
        next = std::min(next, events_.begin()->first);
    }
    return std::max(next, now_ + base::Duration(1ms));
}

void ManagerCluster::step()
{
    const bool busy = std::any_of(nodes_.begin(), nodes_.end(), [](const auto &item) {
        const Process *const process = item.second->process.get();
        return process != nullptr && (!process->proposals.empty() || !process->outputs.empty());
    });
    now_ = busy || network_.hasMessages() ? now_ + base::Duration(1ms) : nextEventAt();
    workers_.step(now_);
    while (!events_.empty() && events_.begin()->first <= now_) {
        const auto callback = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        callback();
    }
    stepPolls();
    stepReports();
    stepLeaves();
    for (auto &delivery : network_.due(now_)) {
        const auto node = nodes_.find(delivery.to);
        if (node != nodes_.end() && node->second->process) {
            node->second->process->inbox.push_back(std::move(delivery.message));
        }
    }
    for (const auto &[number, node] : nodes_) {
        if (node->process && now_ >= node->pausedUntil) {
            stepLog(*node);
        }
        if (node->process && now_ >= node->pausedUntil) {
            stepMain(*node);
        }
    }
}

// The log has a thread of its own, so a stalled disk stops it, but not the job manager.
void ManagerCluster::stepLog(Node &node)
{
    Process &process = *node.process;
    if (!process.replica || now_ < node.stalledUntil) {
        return;
    }
    const base::TimePoint local = localTime(node);
    const bool hasInput = !process.inbox.empty() || !process.proposals.empty() || process.handOver;
    if (!hasInput && now_ < process.nextLogTick) {
        return;
    }
    process.nextLogTick = now_ + LogTickInterval;
    for (const coordination::Message &message : std::exchange(process.inbox, {})) {
        process.replica->receive(message, local);
    }
    for (auto &[id, data] : std::exchange(process.proposals, {})) {
        if (chance(refusedShare_)) {
            ++refusedProposals_;
            process.results.push_back({id, std::nullopt});
            continue;
        }
        const auto position = process.replica->propose(std::move(data));
        if (!position && position.error().failure == coordination::ProposeFailure::DiskFull) {
            process.replica->handOverLeadership(local);
        }
        process.results.push_back({id, position ? std::optional(*position) : std::nullopt});
    }
    if (std::exchange(process.handOver, false)) {
        process.replica->handOverLeadership(local);
    }
    process.replica->tick(local);
    try {
        flush(node);
    } catch (const ProcessKilled &) {
        stop(node);
    }
}

void ManagerCluster::flush(Node &node)
{
    Process &process = *node.process;
    const std::uint64_t operations = node.disk->operations();
    bool more = true;
    while (more) {
        auto result = process.replica->flush(localTime(node));
        YW_INVARIANT(result.has_value(), "a disk without a fault must not fail");
        more = result->hasMore;
        const coordination::ReplicatedLog &log = process.replica->log();
        Process::Output output;
        output.messages = std::move(result->messages);
        output.log.results = std::exchange(process.results, {});
        output.log.snapshot = std::move(result->snapshot);
        output.log.committed = std::move(result->committed);
        output.log.status = {log.role(), log.term(), log.leader(), log.leaseEnd(), {}};
        if (process.replica->isDiskFull()) {
            output.log.status.role = coordination::Role::Follower;
            output.log.status.leader = {};
            output.log.status.leaseEnd.reset();
        }
        if (process.replica->isSnapshotDue() && !output.log.committed.empty() && !process.isStateRequested) {
            process.isStateRequested = true;
            process.requestedIndex = output.log.committed.back().index;
            output.log.takeState = [&process](std::string state) {
                process.requestedState = std::move(state);
            };
        }
        if (node.disk->operations() > operations) {
            node.stalledUntil = now_ + randomTime(0ms, options_.maxSyncTime);
        }
        output.readyAt = node.stalledUntil;
        process.outputs.push_back(std::move(output));
    }
    if (process.requestedState && !process.replica->isDiskFull()) {
        const auto saved = process.replica->saveSnapshot(process.requestedIndex, *process.requestedState);
        YW_INVARIANT(saved.has_value(), "a disk without a fault must not fail");
        process.requestedState.reset();
        process.isStateRequested = false;
    }
}

void ManagerCluster::stepMain(Node &node)
{
    Process &process = *node.process;
    const base::TimePoint local = localTime(node);
    bool active = false;
    while (!process.outputs.empty() && process.outputs.front().readyAt <= now_) {
        Process::Output output = std::move(process.outputs.front());
        process.outputs.pop_front();
        for (const coordination::Message &message : output.messages) {
            network_.send(node.number, message.to.node, message, now_);
        }
        process.core.push(std::move(output.log));
    }
    if (process.core.hasUnapplied()) {
        active = process.core.apply(MaxEntriesPerStep, local, wall());
    }
    while (!process.calls.empty()) {
        const auto call = std::move(process.calls.front());
        process.calls.pop_front();
        call();
        active = true;
    }
    if (active) {
        process.nextTick = std::min(process.nextTick, now_ + base::Duration(DispatchDelay));
    }
    if (now_ >= process.nextReview) {
        process.nextReview = now_ + ReviewInterval;
        process.core.review(local, wall());
    }
    if (now_ >= process.nextTick) {
        workflow::JobManager &jobs = process.core.jobs();
        jobs.tick(local, wall());
        process.nextTick =
            now_ + std::clamp<base::Duration>(jobs.nextTick(local) - local, DispatchDelay, ReviewInterval);
    }
}

bool ManagerCluster::reaches(const Node &node, const workflow::WorkerIdentity &identity)
{
    return workers_.isReachable(identity.id, now_) && workers_.worker(identity.id).identity.address == identity.address
        && !isCut(node.number, identity.id, true);
}

// An order that gets no answer may be carried out, now or seconds later.
template <typename Effect, typename Answered>
void ManagerCluster::order(Node &node, const workflow::WorkerIdentity &identity, Effect effect, Answered answered)
{
    const base::TimePoint sentAt = now_;
    const auto unanswered = [this, &node, sentAt, answered] {
        schedule(node, sentAt + OrderTimeout, [answered] { answered(workflow::OrderAnswer{}); });
    };
    const auto carryOut = [this, identity, effect, born = workers_.worker(identity.id).identity.born] {
        CalledWorkers::Worker &worker = workers_.worker(identity.id);
        const bool isThere = worker.identity.address == identity.address && worker.mayCarryOut(born);
        return isThere && now_ >= worker.downUntil ? std::optional(effect()) : std::nullopt;
    };
    if (chance(orderFaults_.lostShare)) {
        if (chance(orderFaults_.lateShare)) {
            events_.emplace(now_ + randomTime(2s, 12s), [carryOut] { carryOut(); });
        }
        unanswered();
        return;
    }
    events_.emplace(
        now_ + Delay, [this, &node, generation = node.generation, identity, carryOut, answered, unanswered] {
            const auto answer = reaches(node, identity) ? carryOut() : std::nullopt;
            if (!node.process || node.generation != generation) {
                return;
            }
            const bool isLost = isCut(node.number, identity.id, false) || workers_.worker(identity.id).answersLost;
            if (!answer || isLost) {
                unanswered();
                return;
            }
            const milliseconds jitter = randomTime(0ms, orderFaults_.maxJitter);
            schedule(node, now_ + Delay + jitter, [answered, answer = *answer] { answered(answer); });
        });
}

void ManagerCluster::stepPolls()
{
    for (const PendingPoll &poll : std::exchange(polls_, {})) {
        Node &node = *nodes_.at(poll.manager);
        if (now_ < poll.arrivesAt) {
            polls_.push_back(poll);
            continue;
        }
        CalledWorkers::Worker &worker = workers_.worker(poll.identity.id);
        workflow::PollAnswer answer;
        answer.number = poll.order.number;
        const bool arrives = reaches(node, poll.identity) && worker.identity.born == poll.born;
        const bool isAnswered = !isCut(poll.manager, poll.identity.id, false) && !worker.answersLost;
        if (arrives && chance(orderFaults_.lostShare * 0.1)) {
            if (chance(orderFaults_.lateShare)) {
                events_.emplace(now_ + randomTime(2s, 12s), [this, poll] {
                    const CalledWorkers::Worker &late = workers_.worker(poll.identity.id);
                    if (late.identity.address == poll.identity.address && now_ >= late.downUntil) {
                        workers_.poll(poll.identity.id, poll.order, now_);
                    }
                });
            }
            events_.emplace(poll.answerBy + OrderTimeout, [this, poll, answer] { answerPoll(poll, answer); });
        } else if (arrives && isAnswered) {
            answer = workers_.poll(poll.identity.id, poll.order, now_);
            answer.acknowledged = poll.order.acknowledged;
            if (answer.ended.empty() && answer.outcome == OrderOutcome::Done && now_ < poll.answerBy) {
                polls_.push_back(poll);
            } else {
                answerPoll(poll, answer);
            }
        } else {
            if (arrives) {
                workers_.poll(poll.identity.id, poll.order, now_);
            }
            if (now_ < poll.answerBy + OrderTimeout) {
                polls_.push_back(poll);
            } else {
                answerPoll(poll, answer);
            }
        }
    }
}

void ManagerCluster::answerPoll(const PendingPoll &poll, const workflow::PollAnswer &answer)
{
    Node &node = *nodes_.at(poll.manager);
    if (!node.process || node.generation != poll.generation) {
        return;
    }
    schedule(node, now_ + Delay, [this, &node, poll, answer] {
        if (answer.outcome == OrderOutcome::Done && answer.born == poll.identity.born) {
            node.process->connections[poll.identity.id] = answer.born;
        } else if (answer.outcome != OrderOutcome::Done) {
            node.process->connections.erase(poll.identity.id);
        }
        node.process->core.jobs().onPollAnswer(poll.worker, answer, localTime(node));
    });
}

void ManagerCluster::stepReports()
{
    for (const std::string &id : workerIds()) {
        base::TimePoint &next = nextReport_.try_emplace(id, now_).first->second;
        if (now_ >= next && workers_.isReachable(id, now_)) {
            next = now_ + ReportInterval;
            report(id, reportTo_[id]);
        }
    }
}

void ManagerCluster::leave(const std::string &worker)
{
    leaves_[worker] = {workers_.worker(worker).identity.born, now_, now_ + base::Duration(MaxLeaveTime)};
}

void ManagerCluster::stepLeaves()
{
    for (auto leave = leaves_.begin(); leave != leaves_.end();) {
        const auto &[id, state] = *leave;
        if (workers_.worker(id).identity.born != state.born) {
            leave = leaves_.erase(leave); // It has ended meanwhile.
            continue;
        }
        if (now_ >= state.endsAt) {
            workers_.crash(id, now_);
        } else if (now_ >= state.nextReport) {
            leave->second.nextReport = now_ + base::Duration(LeaveInterval);
            reportLeaving(id, state.born);
        }
        ++leave;
    }
}

// The worker goes on until it has the acknowledgement, which may get lost.
void ManagerCluster::reportLeaving(const std::string &worker, std::int64_t born)
{
    Node *const node = chooseManager(0);
    if (node == nullptr || isCut(node->number, worker, false) || !workers_.isReachable(worker, now_)) {
        return;
    }
    const auto acknowledge = [this, node, worker, born] {
        const bool isLost = isCut(node->number, worker, true) || !workers_.isReachable(worker, now_)
            || workers_.worker(worker).answersLost || chance(orderFaults_.lostShare);
        if (!isLost && workers_.worker(worker).identity.born == born) {
            workers_.crash(worker, now_);
        }
    };
    schedule(*node, now_ + Delay, [this, node, acknowledge, report = workers_.finalReport(worker)] {
        const std::uint32_t leader = node->process->core.status().leader.node;
        Node &handler = leader == 0 ? *node : *nodes_.at(leader);
        if (!handler.process) {
            return;
        }
        schedule(handler, now_ + Delay, [this, &handler, acknowledge, report] {
            workflow::ManagerCore &core = handler.process->core;
            if (core.isLeader(localTime(handler))) {
                core.report(report, localTime(handler), [this, acknowledge](const auto &result) {
                    if (result) {
                        events_.emplace(now_ + 2 * Delay, acknowledge);
                    }
                });
            }
        });
    });
}

void ManagerCluster::report(const std::string &worker, std::uint32_t manager)
{
    Node *const node = chooseManager(manager);
    if (node == nullptr || isCut(node->number, worker, false)) {
        tryNextManager(worker, 300ms);
        return;
    }
    if (now_ < node->pausedUntil) {
        tryNextManager(worker, 1s); // It takes the report nevertheless, once it goes on.
    }
    schedule(*node, now_ + Delay, [this, node, report = workers_.report(worker, now_)] {
        deliverReport(*node, report, false);
    });
}

// Workers send a report that isn't acknowledged to another manager.
void ManagerCluster::tryNextManager(const std::string &worker, milliseconds delay)
{
    reportTo_[worker] = 0;
    nextReport_[worker] = now_ + delay;
}

void ManagerCluster::deliverReport(Node &node, const workflow::WorkerReport &report, bool forwarded)
{
    workflow::ManagerCore &core = node.process->core;
    if (core.isLeader(localTime(node))) {
        core.report(report, localTime(node), [this, &node, report](const auto &result) {
            if (!result) {
                return;
            }
            reportTo_[report.worker.id] = node.number;
            if (report.draining) {
                acknowledgedDrains_.emplace(report.worker.id, report.worker.born);
            }
        });
        return;
    }
    const std::uint32_t leader = core.status().leader.node;
    if (forwarded || leader == 0 || leader == node.number) {
        tryNextManager(report.worker.id, 50ms);
        return;
    }
    Node &next = *nodes_.at(leader);
    if (next.process) {
        schedule(next, now_ + Delay, [this, &next, report] { deliverReport(next, report, true); });
    }
}

ManagerCluster::Node *ManagerCluster::chooseManager(std::uint32_t preferred)
{
    if (preferred != 0 && nodes_.at(preferred)->process) {
        return nodes_.at(preferred).get();
    }
    const auto number = static_cast<std::uint32_t>(1 + random_() % nodes_.size());
    return nodes_.at(number)->process ? nodes_.at(number).get() : nullptr;
}

void ManagerCluster::submit(workflow::JobKey key, const workflow::JobSpec &spec, std::uint32_t attempts)
{
    workers_.addJob(key, spec);
    jobs_[key].spec = spec;
    send({key, workflow::QueueVerb::Submit, attempts, 0});
}

void ManagerCluster::cancel(workflow::JobKey key)
{
    jobs_.at(key).cancelSent = true;
    send({key, workflow::QueueVerb::Cancel, std::numeric_limits<std::uint32_t>::max(), 0});
}

void ManagerCluster::sendAgain(Request request, milliseconds delay)
{
    if (request.attemptsLeft > 0) {
        events_.emplace(now_ + delay, [this, request] { send(request); });
    }
}

void ManagerCluster::send(const Request &request)
{
    Request next = request;
    --next.attemptsLeft;
    next.target = 0;
    Node *const node = chooseManager(request.target);
    if (node == nullptr) {
        sendAgain(next, 200ms);
        return;
    }
    CallerJob &job = jobs_.at(request.job);
    ++job.outstanding;
    // A request without a reply may have taken effect.
    const auto isReplied = std::make_shared<bool>(false);
    events_.emplace(now_ + 1s, [this, next, isReplied] {
        if (!std::exchange(*isReplied, true)) {
            --jobs_.at(next.job).outstanding;
            jobs_.at(next.job).mayRun = true;
            sendAgain(next, 0ms);
        }
    });
    schedule(*node, now_ + Delay, [this, node, next, isReplied] {
        const base::TimePoint local = localTime(*node);
        const auto reply = [this, node, next, isReplied](const auto &answer) {
            // The reply gets lost with the manager, or on the way.
            if (node->process && !chance(orderFaults_.lostShare * 0.1)) {
                events_.emplace(now_ + Delay, [this, next, node, answer, isReplied] {
                    if (!std::exchange(*isReplied, true)) {
                        --jobs_.at(next.job).outstanding;
                        handleReply(next, node->number, answer);
                    }
                });
            }
        };
        if (!node->process->core.isLeader(local)) {
            Request atLeader = next;
            atLeader.target = node->process->core.status().leader.node;
            if (!std::exchange(*isReplied, true)) {
                --jobs_.at(next.job).outstanding;
                sendAgain(atLeader, 50ms);
            }
            return;
        }
        workflow::QueueRequest queued;
        queued.verb = next.verb;
        queued.host = Host;
        queued.path = Prefix + workflow::toString(next.job);
        if (next.verb == workflow::QueueVerb::Submit) {
            queued.job = jobs_.at(next.job).spec;
        }
        node->process->core.handle(std::move(queued), local, wall(), reply);
    });
}

void ManagerCluster::handleReply(Request request,
                                 std::uint32_t manager,
                                 const tl::expected<workflow::QueueReply, workflow::Unanswered> &reply)
{
    CallerJob &job = jobs_.at(request.job);
    const bool isRefused = !reply || reply->outcome == workflow::QueueOutcome::Refused
        || reply->outcome == workflow::QueueOutcome::NoSuchQueue;
    if (isRefused) {
        job.mayRun =
            job.mayRun || (!reply && reply.error().mayTakeEffect && request.verb == workflow::QueueVerb::Submit);
        sendAgain(request, 300ms);
        return;
    }
    if (request.verb == workflow::QueueVerb::Submit) {
        YW_INVARIANT(reply->outcome == workflow::QueueOutcome::Accepted, "a valid job must be accepted or refused");
        job.accepted = true;
        job.acceptedAt = now_;
        job.mayRun = true;
        // A resend that was on its way.
        if (chance(0.1) && request.attemptsLeft > 0) {
            request.attemptsLeft = 1;
            request.target = manager;
            sendAgain(request, randomTime(0ms, 8s));
        }
        return;
    }
    YW_INVARIANT(!job.accepted || reply->outcome == workflow::QueueOutcome::Accepted,
                 "a job that was accepted must be known");
    job.cancelled = reply->outcome == workflow::QueueOutcome::Accepted;
}

void ManagerCluster::changeConfiguration()
{
    sendConfiguration(++configuration_);
}

void ManagerCluster::sendConfiguration(std::uint64_t version)
{
    workflow::Configuration configuration;
    configuration.version = version;
    configuration.services.push_back({"service", false, false});
    workflow::QueueRoute route{Host, Prefix, 3s, {}};
    route.policy.queue = "queue";
    route.policy.service = "service";
    route.policy.attempts = 3;
    route.policy.stretch = 2;
    route.policy.target = 1s;
    configuration.routes.push_back(route);
    events_.emplace(now_ + 1s, [this, version] {
        if (version > acknowledgedConfiguration_) {
            sendConfiguration(version);
        }
    });
    Node *const node = chooseManager(leader());
    if (node == nullptr) {
        return;
    }
    schedule(*node, now_ + Delay, [this, node, configuration] {
        if (!node->process->core.isLeader(localTime(*node))) {
            return;
        }
        node->process->core.putConfiguration(configuration, [this](const auto &reply) {
            if (reply) {
                acknowledgedConfiguration_ = std::max(acknowledgedConfiguration_, reply->version);
            }
        });
    });
}

void ManagerCluster::checkStart(const workflow::WorkerIdentity &worker, const workflow::StartOrder &order) const
{
    const CallerJob &job = jobs_.at(order.task.job);
    YW_INVARIANT(job.mayRun || job.outstanding > 0, "a job whose callers were told that it has not run must not run");
    YW_INVARIANT(!job.cancelled, "no task of a job may be started after its cancellation was acknowledged");
    YW_INVARIANT(!acknowledgedDrains_.contains({worker.id, worker.born}),
                 "no task may be started on a worker after its drain was acknowledged");
}

std::size_t ManagerCluster::acceptedJobs() const
{
    return static_cast<std::size_t>(
        std::count_if(jobs_.begin(), jobs_.end(), [](const auto &item) { return item.second.accepted; }));
}

std::optional<std::string> ManagerCluster::findUnfinished(bool mayFail) const
{
    const workflow::ManagerCore *const core = leadingCore();
    if (core == nullptr) {
        return "no manager leads";
    }
    if (core->state().configuration().version < acknowledgedConfiguration_) {
        return "an acknowledged configuration is lost";
    }
    for (const auto &[key, job] : jobs_) {
        const workflow::JobRecord *const record = core->state().findJob(key);
        const std::string name = workflow::toString(key);
        if (record == nullptr) {
            if (job.accepted && now_ - job.acceptedAt < JobRetention) {
                return fmt::format("accepted job {} is lost", name);
            }
            continue;
        }
        if (!record->hasEnded()) {
            return fmt::format("job {} has not ended", name);
        }
        if (record->phase == workflow::JobPhase::Completed) {
            for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
                for (std::uint32_t index = 0; index < job.spec.steps[step].count; ++index) {
                    if (!workers_.isDone({key, 0, step, index})) {
                        return fmt::format("job {} is said to be completed but isn't", name);
                    }
                }
            }
        } else if (record->phase == workflow::JobPhase::Failed ? !mayFail : !job.cancelSent) {
            return fmt::format("job {} is {} without cause", name, workflow::toString(record->phase));
        }
    }
    return std::nullopt;
}

} // namespace yuccawheel::fakes
