#include "fakes/manager_faults.h"

#include "base/invariant.h"

#include <fmt/core.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <random>
#include <set>

namespace yuccawheel::fakes
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds GangTimeout{3'000};
constexpr milliseconds ContactTime{5'000}; ///< After a fault until its effects count as over.
constexpr milliseconds MaxRecovery{60'000}; ///< From the end of the faults until all jobs have ended.
constexpr std::int64_t WorkerMilliCpu = 16'000;
constexpr std::array Names{
    "kill",
    "lose_power",
    "lose_all_power",
    "lose_disks",
    "pause",
    "stall_disk",
    "fill_disk",
    "kill_write",
    "hand_over",
    "refuse",
    "cut_managers",
    "cut_managers_one_way",
    "lose_messages",
    "cut_workers",
    "lose_answers",
    "cut_links",
    "late_orders",
    "crash_workers",
    "restart_workers",
    "move_workers",
    "drain_workers",
    "shrink_workers",
    "change_configuration",
    "cancel_jobs",
};

std::uint64_t hashOf(const workflow::TaskRef &task)
{
    std::uint64_t hash = task.job * 0x9e3779b97f4a7c15ULL;
    hash ^= (std::uint64_t{task.step} << 32U | task.index) * 0xc2b2ae3d27d4eb4fULL;
    return hash ^ (hash >> 29U);
}

// Members of a gang take the same time.
milliseconds runTimeOf(const workflow::TaskRef &task)
{
    const std::uint64_t hash = hashOf({task.job, task.occurrence, task.step, 0});
    return milliseconds(hash % 5 == 0 ? 2'000 + hash % 3'000 : 100 + hash % 900);
}

/// Plays one run.
class Player
{
public:
    explicit Player(const ManagerRun &run) : run_(run), random_(run.seed * 7'919 + 3), cluster_(optionsOf(run))
    {
        for (std::uint32_t number = 0; number < run.workers; ++number) {
            cluster_.workers().add(
                fmt::format("w{}", number), WorkerMilliCpu, fmt::format("rack{}", number % 3), cluster_.now());
        }
    }

    ManagerRunResult play();

private:
    static ManagerCluster::Options optionsOf(const ManagerRun &run)
    {
        ManagerCluster::Options options;
        options.seed = run.seed;
        options.managers = run.managers;
        options.spares = run.spares;
        options.workers.gangTimeout = GangTimeout;
        options.workers.runTimeOf = [](const workflow::TaskRef &task, const std::string &worker) {
            static_cast<void>(worker);
            return runTimeOf(task);
        };
        options.workers.stopTime = 100ms;
        options.workers.clockRate = run.seed % 3 == 0 ? 0.98 : 1;
        return options;
    }
    std::uint64_t below(std::uint64_t bound)
    {
        return random_() % bound;
    }
    workflow::JobSpec drawJob();
    void submitNext();
    void begin(const Fault &fault);
    void end(const Fault &fault);
    void applyWindows();
    std::vector<std::string> chooseWorkers(const Fault &fault);
    void heal();
    bool isCalm() const;

    ManagerRun run_;
    std::mt19937_64 random_;
    ManagerCluster cluster_;
    std::vector<Fault> active_;
    std::vector<workflow::JobKey> submitted_;
    base::TimePoint lastFault_{}; ///< When a fault was last active.
    std::uint64_t seenAlone_ = 0;
    std::optional<std::string> failure_;
};

workflow::JobSpec Player::drawJob()
{
    workflow::JobSpec spec;
    spec.payload = "payload";
    const std::uint64_t steps = 1 + below(10) / 7 + below(10) / 8;
    for (std::uint64_t number = 0; number < steps; ++number) {
        workflow::StepSpec &step = spec.steps.emplace_back();
        step.gang = below(2) == 0;
        const std::uint64_t width = below(6) == 0 ? run_.workers : 1 + run_.workers / 3;
        step.count = static_cast<std::uint32_t>((step.gang ? 2 : 1) + below(width));
        step.perTask = {static_cast<std::int64_t>(1'000 + 1'000 * below(below(4) == 0 ? 12 : 5)), 100, 0};
        step.estimatedRunTime = 500ms;
        step.checkpointing = !step.gang && below(2) == 0;
        step.maxPerWorker = below(5) == 0 ? 2 : 0;
        if (number > 0) {
            step.after.push_back(static_cast<std::uint32_t>(below(number)));
        }
        // A gang must fit on the workers as a whole.
        if (step.gang) {
            const auto perWorker = static_cast<std::uint64_t>(WorkerMilliCpu / step.perTask.milliCpu);
            const std::uint64_t most = step.maxPerWorker == 0 ? perWorker : std::min<std::uint64_t>(perWorker, 2);
            step.count = static_cast<std::uint32_t>(std::min<std::uint64_t>(step.count, most * run_.workers * 2 / 3));
        }
    }
    return spec;
}

void Player::submitNext()
{
    const workflow::JobKey key = 0x1000 + submitted_.size();
    submitted_.push_back(key);
    const bool isPatient = below(10) > 0;
    cluster_.submit(key, drawJob(), isPatient ? 1'000 : static_cast<std::uint32_t>(1 + below(3)));
}

std::vector<std::string> Player::chooseWorkers(const Fault &fault)
{
    const std::vector<std::string> ids = cluster_.workerIds();
    std::vector<std::string> chosen;
    const auto count = static_cast<std::size_t>(std::ceil(fault.share * static_cast<double>(ids.size())));
    for (std::size_t number = 0; number < count; ++number) {
        chosen.push_back(ids[(fault.target + number) % ids.size()]);
    }
    return chosen;
}

void Player::begin(const Fault &fault)
{
    const std::vector<std::uint32_t> managers = cluster_.numbers();
    // Half of the faults of one manager strike the leader.
    const std::uint32_t leader = cluster_.leader();
    const std::uint32_t manager =
        fault.target % 2 == 0 && leader != 0 ? leader : managers[fault.target / 2 % managers.size()];
    const auto killAll = [&] {
        for (const std::uint32_t number : managers) {
            cluster_.losePower(number);
        }
    };
    switch (fault.kind) {
    case FaultKind::Kill:
        cluster_.kill(manager);
        break;
    case FaultKind::LosePower:
        cluster_.losePower(manager);
        break;
    case FaultKind::LoseAllPower:
        killAll();
        break;
    case FaultKind::LoseDisks:
        killAll();
        for (std::uint32_t lost = 0; lost < (run_.managers - 1) / 2; ++lost) {
            cluster_.loseDisk(1 + (manager - 1 + lost) % run_.managers);
        }
        break;
    case FaultKind::Pause:
        cluster_.pause(manager, fault.length);
        break;
    case FaultKind::StallDisk:
        cluster_.stallDisk(manager, fault.length);
        break;
    case FaultKind::FillDisk:
        cluster_.setDiskFull(manager, true);
        break;
    case FaultKind::KillDuringWrite:
        if (cluster_.isRunning(manager)) {
            cluster_.killDuringWrite(manager);
        }
        break;
    case FaultKind::HandOver:
        cluster_.handOver(manager);
        break;
    case FaultKind::CutManagers:
    case FaultKind::CutManagersOneWay:
        for (const std::uint32_t other : managers) {
            cluster_.network().cut(manager, other);
            if (fault.kind == FaultKind::CutManagers) {
                cluster_.network().cut(other, manager);
            }
        }
        break;
    case FaultKind::CutLinks:
        for (const std::string &worker : chooseWorkers(fault)) {
            cluster_.cutOff(manager, worker, fault.target % 3 != 0, fault.target % 3 != 1);
        }
        break;
    case FaultKind::CutWorkers:
        for (const std::string &worker : chooseWorkers(fault)) {
            cluster_.workers().worker(worker).cut = true;
        }
        break;
    case FaultKind::LoseAnswers:
        for (const std::string &worker : chooseWorkers(fault)) {
            cluster_.workers().worker(worker).answersLost = true;
        }
        break;
    case FaultKind::CrashWorkers:
        for (const std::string &worker : chooseWorkers(fault)) {
            cluster_.workers().crash(worker, cluster_.now());
        }
        break;
    case FaultKind::RestartWorkers:
        for (const std::string &worker : chooseWorkers(fault)) {
            cluster_.workers().restart(worker, cluster_.now());
        }
        break;
    case FaultKind::MoveWorkers:
        for (const std::string &worker : chooseWorkers(fault)) {
            cluster_.workers().restartElsewhere(worker, cluster_.now());
        }
        break;
    case FaultKind::DrainWorkers:
        for (const std::string &worker : chooseWorkers(fault)) {
            cluster_.workers().worker(worker).isDraining = true;
        }
        break;
    case FaultKind::ShrinkWorkers:
        for (const std::string &worker : chooseWorkers(fault)) {
            cluster_.workers().setCapacity(worker, {WorkerMilliCpu / 2, 1'000'000, 0}, 4s, cluster_.now());
        }
        break;
    case FaultKind::ChangeConfiguration:
        cluster_.changeConfiguration();
        break;
    case FaultKind::CancelJobs:
        if (!submitted_.empty()) {
            cluster_.cancel(
                submitted_[submitted_.size() - 1 - fault.target % std::min<std::size_t>(submitted_.size(), 5)]);
        }
        break;
    case FaultKind::RefuseProposals:
    case FaultKind::LoseMessages:
    case FaultKind::LateOrders:
        break; // In force while they are active.
    }
}

void Player::end(const Fault &fault)
{
    switch (fault.kind) {
    case FaultKind::Kill:
    case FaultKind::LosePower:
    case FaultKind::LoseAllPower:
    case FaultKind::LoseDisks:
    case FaultKind::KillDuringWrite:
        for (const std::uint32_t manager : cluster_.numbers()) {
            if (!cluster_.isRunning(manager)) {
                cluster_.start(manager);
            }
        }
        break;
    case FaultKind::FillDisk:
        for (const std::uint32_t manager : cluster_.numbers()) {
            cluster_.setDiskFull(manager, false);
        }
        break;
    case FaultKind::CutManagers:
    case FaultKind::CutManagersOneWay:
        cluster_.network().heal();
        break;
    case FaultKind::CutLinks:
        cluster_.healWorkerLinks();
        break;
    case FaultKind::CutWorkers:
        for (const std::string &worker : chooseWorkers(fault)) {
            cluster_.workers().worker(worker).cut = false;
        }
        break;
    case FaultKind::LoseAnswers:
        for (const std::string &worker : chooseWorkers(fault)) {
            cluster_.workers().worker(worker).answersLost = false;
        }
        break;
    case FaultKind::DrainWorkers:
        for (const std::string &worker : chooseWorkers(fault)) {
            if (fault.target % 3 == 0) {
                cluster_.workers().restart(worker, cluster_.now());
            } else {
                cluster_.leave(worker);
            }
        }
        break;
    case FaultKind::ShrinkWorkers:
        for (const std::string &worker : chooseWorkers(fault)) {
            cluster_.workers().setCapacity(worker, {WorkerMilliCpu, 1'000'000, 0}, 0s, cluster_.now());
        }
        break;
    default:
        break;
    }
}

// Faults whose strength depends on what is active.
void Player::applyWindows()
{
    double refused = 0;
    ManagerCluster::OrderFaults orders;
    LinkFaults links{0, 0, 1ms, 3ms};
    for (const Fault &fault : active_) {
        if (fault.kind == FaultKind::RefuseProposals) {
            refused = std::max(refused, fault.share);
        } else if (fault.kind == FaultKind::LateOrders) {
            orders = {fault.share * 0.5, 0.5, 20ms};
        } else if (fault.kind == FaultKind::LoseMessages) {
            links = {static_cast<unsigned>(fault.share * 30), 5, 1ms, 60ms};
        }
    }
    cluster_.setRefusedShare(refused);
    cluster_.setOrderFaults(orders);
    cluster_.network().setFaults(links);
}

void Player::heal()
{
    for (const Fault &fault : std::exchange(active_, {})) {
        end(fault);
    }
    applyWindows();
    cluster_.network().heal();
    cluster_.healWorkerLinks();
    for (const std::uint32_t manager : cluster_.numbers()) {
        if (!cluster_.isRunning(manager)) {
            cluster_.start(manager);
        }
    }
}

bool Player::isCalm() const
{
    return cluster_.now() - lastFault_ > ContactTime + GangTimeout;
}

ManagerRunResult Player::play()
{
    const base::TimePoint start = cluster_.now();
    lastFault_ = start;
    std::size_t next = 0;
    base::TimePoint nextJob = start + 3s;
    const auto observe = [&] {
        const bool anyFault = std::any_of(active_.begin(), active_.end(), [](const Fault &fault) {
            return fault.kind != FaultKind::ChangeConfiguration && fault.kind != FaultKind::CancelJobs;
        });
        if (anyFault) {
            lastFault_ = cluster_.now();
        }
        const std::uint64_t alone = cluster_.workers().incompleteGangEnds();
        if (alone > seenAlone_ && isCalm()) {
            failure_ = "a member of a gang waited for the others in vain while all was calm";
        }
        seenAlone_ = alone;
    };
    while (cluster_.now() - start < run_.length && !failure_) {
        const auto passed = cluster_.now() - start;
        const std::size_t before = active_.size();
        while (next < run_.faults.size() && run_.faults[next].at <= passed) {
            begin(run_.faults[next]);
            active_.push_back(run_.faults[next++]);
        }
        std::vector<Fault> over;
        std::erase_if(active_, [&](const Fault &fault) {
            const bool isOver = fault.at + fault.length <= passed;
            if (isOver) {
                over.push_back(fault);
            }
            return isOver;
        });
        for (const Fault &fault : over) {
            end(fault);
        }
        if (before != active_.size() || !over.empty()) {
            applyWindows();
        }
        if (cluster_.now() >= nextJob) {
            submitNext();
            nextJob = cluster_.now() + milliseconds(100 + below(900));
        }
        cluster_.run(1ms);
        observe();
    }
    heal();
    lastFault_ = cluster_.now();
    const auto crashes =
        static_cast<std::size_t>(std::count_if(run_.faults.begin(), run_.faults.end(), [](const Fault &fault) {
            return fault.kind == FaultKind::CrashWorkers || fault.kind == FaultKind::RestartWorkers
                || fault.kind == FaultKind::MoveWorkers || fault.kind == FaultKind::DrainWorkers;
        }));
    const bool mayFail = crashes > 1;
    std::optional<std::string> unfinished;
    base::TimePoint nextCheck{};
    cluster_.runUntil(
        [&] {
            observe();
            if (failure_ || cluster_.now() < nextCheck) {
                return failure_.has_value();
            }
            nextCheck = cluster_.now() + 500ms;
            unfinished = cluster_.findUnfinished(mayFail);
            return !unfinished;
        },
        MaxRecovery);
    ManagerRunResult result;
    result.failure = failure_ ? failure_ : unfinished;
    result.virtualTime = std::chrono::duration_cast<milliseconds>(cluster_.now() - start);
    result.jobs = cluster_.acceptedJobs();
    result.starts = cluster_.workers().starts();
    result.membersAlone = cluster_.workers().incompleteGangEnds();
    result.refusedProposals = cluster_.refusedProposals();
    return result;
}

} // namespace

std::string_view toString(FaultKind kind)
{
    return Names.at(static_cast<std::size_t>(kind));
}

std::string describe(const Fault &fault)
{
    return fmt::format("#{} {} at {} ms for {} ms, target {}, share {:.2f}",
                       fault.number,
                       toString(fault.kind),
                       fault.at.count(),
                       fault.length.count(),
                       fault.target,
                       fault.share);
}

ManagerRun drawRun(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto below = [&random](std::uint64_t bound) {
        return random() % bound;
    };
    ManagerRun run;
    run.seed = seed;
    run.managers = below(4) == 0 ? 5 : 3;
    run.spares = static_cast<std::uint32_t>(below(3) == 0 ? 1 + below(2) : 0);
    run.workers = static_cast<std::uint32_t>(4 + below(12));
    // A sixth of the runs has only what a gang must bear without a member alone.
    const bool calm = below(6) == 0;
    const std::uint64_t count = 3 + below(18);
    bool hasLostDisks = false;
    for (std::uint64_t number = 0; number < count; ++number) {
        Fault fault;
        fault.kind = calm ? (below(2) == 0 ? FaultKind::ChangeConfiguration : FaultKind::CancelJobs)
                          : static_cast<FaultKind>(below(Names.size()));
        if (fault.kind == FaultKind::LoseDisks && std::exchange(hasLostDisks, true)) {
            fault.kind = FaultKind::LoseAllPower;
        }
        fault.at = milliseconds(4'000 + below(static_cast<std::uint64_t>(run.length.count()) - 8'000));
        fault.length = milliseconds(below(3) == 0 ? 100 + below(900) : 1'000 + below(below(4) == 0 ? 13'000 : 4'000));
        fault.target = static_cast<std::uint32_t>(below(1'000));
        fault.share = 0.1 + static_cast<double>(below(50)) / 100;
        run.faults.push_back(fault);
    }
    // In a third of the runs no manager is struck: each new leader waits for the leases of all workers, so where
    // leaders are often lost, no worker is ever given up.
    const bool areManagersSpared = !calm && below(3) == 0;
    for (Fault &fault : run.faults) {
        if (areManagersSpared && fault.kind <= FaultKind::LoseMessages) {
            fault.kind = below(2) == 0 ? FaultKind::CutWorkers : FaultKind::LoseAnswers;
        }
        // Long enough for a worker to be given up, and to return with ends that it still lists.
        const bool isOfWorkers = fault.kind == FaultKind::CutWorkers || fault.kind == FaultKind::LoseAnswers;
        if (isOfWorkers && below(2) == 0) {
            fault.length = milliseconds(11'000 + below(9'000));
        }
    }
    std::sort(
        run.faults.begin(), run.faults.end(), [](const Fault &left, const Fault &right) { return left.at < right.at; });
    for (std::size_t number = 0; number < run.faults.size(); ++number) {
        run.faults[number].number = number;
    }
    return run;
}

ManagerRunResult play(const ManagerRun &run)
{
    return Player(run).play();
}

} // namespace yuccawheel::fakes
