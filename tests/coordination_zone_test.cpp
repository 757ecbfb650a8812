#include "base/invariant.h"
#include "coordination/zone_ownership.h"
#include "fakes/fake_network.h"

#include <fmt/core.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <ostream>
#include <random>
#include <string>
#include <variant>

using namespace yuccawheel;
using namespace yuccawheel::coordination;
using namespace std::chrono_literals;

namespace
{

constexpr LeaseSettings Lease{10'000ms, 1'000};
constexpr std::uint32_t FirstWorkerNode = 100;
constexpr std::uint32_t Witnesses = 5;

struct Command {
    WorkerRunName worker;
    ProcessId owner;
    Epoch epoch;
};

/// Simulates a zone of candidates for its ownership, workers and a log that may be unreachable, in virtual time.
class Zone
{
public:
    using Packet = std::variant<GrantRequest, GrantReply, Command>;
    using Network = fakes::FakeNetwork<Packet>;

    Zone(std::uint32_t candidates, std::uint32_t workers, std::uint64_t seed) : network_(seed), random_(seed)
    {
        ZoneAssignment assignment{1, {}, {}};
        for (std::uint32_t i = 0; i < workers; ++i) {
            assignment.witnesses.insert(addWorker());
        }
        for (std::uint32_t node = 1; node <= candidates; ++node) {
            assignment.succession.push_back(node);
        }
        issued_.push_back(assignment);
        for (std::uint32_t node = 1; node <= candidates; ++node) {
            start(node);
        }
    }

    void run(std::chrono::milliseconds duration)
    {
        for (std::chrono::milliseconds passed{0}; passed < duration; passed += Step) {
            step();
        }
    }

    bool runUntilOwned(std::chrono::milliseconds limit)
    {
        for (std::chrono::milliseconds passed{0}; passed < limit && owner() == 0; passed += Step) {
            step();
        }
        return owner() != 0;
    }

    /// Returns the node that owns the zone, or 0. Aborts if two nodes own it.
    std::uint32_t owner() const
    {
        std::uint32_t owner = 0;
        for (const auto &[node, candidate] : candidates_) {
            if (candidate.ownership && candidate.ownership->owns(local(candidate.rate))) {
                YW_INVARIANT(owner == 0, "a zone must have one owner at a time");
                owner = node;
            }
        }
        return owner;
    }

    void kill(std::uint32_t node)
    {
        candidates_.at(node).ownership.reset();
    }

    /// Starts a new run of a candidate. It may receive any assignment from its peers, however old.
    void start(std::uint32_t node)
    {
        Candidate &candidate = candidates_[node];
        if (!candidate.ownership) {
            candidate.rate = clockRate(node);
            candidate.ownership.emplace(OwnershipSettings{ProcessId{node, ++incarnation_}, Lease});
            candidate.ownership->updateAssignment(issued_[random_() % issued_.size()], local(candidate.rate));
        }
    }

    void pause(std::uint32_t node, std::chrono::milliseconds duration)
    {
        candidates_.at(node).pausedUntil = now_ + duration;
    }

    /// Restarts a worker, which loses its grants and returns under another name.
    void restartWorker(std::uint32_t number)
    {
        const auto worker = std::next(workers_.begin(), number % workers_.size());
        lostWitnesses_.insert(worker->first);
        workers_.erase(worker);
        addWorker();
    }

    void setLogReachable(bool reachable)
    {
        logReachable_ = reachable;
    }

    void resign(std::uint32_t node)
    {
        Candidate &candidate = candidates_.at(node);
        send(node, candidate.ownership->resign(local(candidate.rate)));
    }

    /// Ends all faults.
    void heal()
    {
        network_.heal();
        network_.setFaults({});
        logReachable_ = true;
        for (auto &[node, candidate] : candidates_) {
            candidate.pausedUntil = now_;
            start(node);
        }
    }

    Network &network()
    {
        return network_;
    }
    std::uint64_t assignmentsIssued() const
    {
        return issued_.size();
    }
    std::uint64_t commandsAdmitted() const
    {
        return commandsAdmitted_;
    }
    std::uint64_t commandsRefused() const
    {
        return commandsRefused_;
    }

private:
    static constexpr std::chrono::milliseconds Step{20};

    struct Candidate {
        std::optional<ZoneOwnership> ownership;
        base::TimePoint pausedUntil{};
        double rate = 1.0;
        std::vector<GrantReply> waiting;
    };
    struct Worker {
        std::uint32_t node = 0;
        FencingGate gate{Lease};
        double rate = 1.0;
        Epoch admitted;
    };

    static double clockRate(std::uint32_t node)
    {
        return 1.0 + 0.0009 * (static_cast<int>(node % 3) - 1);
    }

    base::TimePoint local(double rate) const
    {
        return base::TimePoint(std::chrono::duration_cast<base::Duration>(now_.time_since_epoch() * rate));
    }

    std::string addWorker()
    {
        const std::uint32_t node = FirstWorkerNode + nextWorker_++;
        std::string name = fmt::format("worker-{}", node);
        Worker &worker = workers_[name];
        worker.node = node;
        worker.rate = clockRate(node);
        return name;
    }

    void step()
    {
        now_ += Step;
        for (auto &delivery : network_.due(now_)) {
            std::visit([&](auto &packet) { deliver(delivery.to, packet); }, delivery.message);
        }
        for (auto &[node, candidate] : candidates_) {
            if (candidate.ownership && candidate.pausedUntil <= now_) {
                act(node, candidate);
            }
        }
        owner();
        checkCommands();
        issueAssignment();
    }

    void act(std::uint32_t node, Candidate &candidate)
    {
        const base::TimePoint now = local(candidate.rate);
        ZoneOwnership &ownership = *candidate.ownership;
        if (logReachable_) {
            ownership.recordLogContact(now);
            ownership.updateAssignment(issued_.back(), now);
        }
        std::set<WorkerRunName> names;
        for (const auto &[name, worker] : workers_) {
            names.insert(name);
        }
        ownership.setWorkers(names);
        for (const GrantReply &reply : std::exchange(candidate.waiting, {})) {
            ownership.receive(reply, now);
        }
        send(node, ownership.tick(now));
        for (const auto &[name, worker] : workers_) {
            if (ownership.mayCommand(name, now) && random_() % 20 == 0) {
                const Command command{name, ownership.self(), ownership.epoch()};
                network_.send(node, worker.node, command, now_);
            }
        }
    }

    void send(std::uint32_t node, const std::vector<GrantRequest> &requests)
    {
        for (const GrantRequest &request : requests) {
            if (const auto found = workers_.find(request.worker); found != workers_.end()) {
                network_.send(node, found->second.node, request, now_);
            }
        }
    }

    Worker *workerAt(std::uint32_t node, const WorkerRunName &name)
    {
        const auto found = workers_.find(name);
        return found != workers_.end() && found->second.node == node ? &found->second : nullptr;
    }

    void deliver(std::uint32_t to, const GrantRequest &request)
    {
        if (Worker *worker = workerAt(to, request.worker)) {
            if (const auto reply = handleGrantRequest(worker->gate, request, local(worker->rate))) {
                network_.send(to, request.owner.node, *reply, now_);
            }
        }
    }

    void deliver(std::uint32_t to, const GrantReply &reply)
    {
        candidates_.at(to).waiting.push_back(reply);
    }

    void deliver(std::uint32_t to, const Command &command)
    {
        Worker *worker = workerAt(to, command.worker);
        if (worker == nullptr) {
            return;
        }
        if (!worker->gate.admit(command.owner, command.epoch, local(worker->rate))) {
            ++commandsRefused_;
            return;
        }
        YW_INVARIANT(!(command.epoch < worker->admitted), "a worker must not accept commands of an earlier owner");
        worker->admitted = command.epoch;
        ++commandsAdmitted_;
    }

    void checkCommands() const
    {
        for (const auto &[name, worker] : workers_) {
            std::size_t holders = 0;
            for (const auto &[node, candidate] : candidates_) {
                const bool may = candidate.ownership && candidate.ownership->mayCommand(name, local(candidate.rate));
                holders += may ? 1 : 0;
            }
            YW_INVARIANT(holders <= 1, "a worker's grant must have one holder");
        }
    }

    // The log assigns the zone to a candidate that asks for it, or confirms the owner with changed witnesses.
    void issueAssignment()
    {
        if (!logReachable_ || now_ < nextIssue_) {
            return;
        }
        for (const auto &[node, candidate] : candidates_) {
            if (!candidate.ownership || candidate.pausedUntil > now_) {
                continue;
            }
            if (candidate.ownership->owns(local(candidate.rate))) {
                ownedEpoch_ = std::max(ownedEpoch_, candidate.ownership->epoch().logEpoch);
            }
        }
        if (replaceLostWitnesses()) {
            return;
        }
        ZoneAssignment assignment = issued_.back();
        const std::uint32_t holder = owner();
        const bool changed = ownedEpoch_ == assignment.logEpoch && holder == assignment.succession.front()
            && changeWitnesses(assignment);
        for (const auto &[node, candidate] : candidates_) {
            const bool asks = candidate.ownership && candidate.ownership->needsNewAssignment();
            if ((asks && holder == 0) || (changed && node == holder)) {
                const auto place = std::find(assignment.succession.begin(), assignment.succession.end(), node);
                std::rotate(assignment.succession.begin(), place, place + 1);
                ++assignment.logEpoch;
                issued_.push_back(assignment);
                nextIssue_ = now_ + 1s;
                return;
            }
        }
    }

    // If a majority of the witnesses is lost, the log chooses new ones once all grants of the old ones have expired.
    bool replaceLostWitnesses()
    {
        const bool lost = std::all_of(issued_.begin(), issued_.end(), [this](const ZoneAssignment &assignment) {
            return assignment.logEpoch < ownedEpoch_ || isMajorityLost(assignment.witnesses, lostWitnesses_);
        });
        if (!lost) {
            lostSince_.reset();
            return false;
        }
        lostSince_ = lostSince_.value_or(now_);
        if (now_ - *lostSince_ < Lease.grantorLength()) {
            return false;
        }
        ZoneAssignment assignment = issued_.back();
        assignment.witnesses.clear();
        for (const auto &[name, worker] : workers_) {
            assignment.witnesses.insert(name);
        }
        ++assignment.logEpoch;
        issued_.push_back(assignment);
        return true;
    }

    // Adds or removes one witness at a time: after a swap, two majorities might not intersect.
    bool changeWitnesses(ZoneAssignment &assignment)
    {
        std::set<WorkerRunName> changed = assignment.witnesses;
        const auto dead =
            std::find_if(changed.begin(), changed.end(), [this](const auto &name) { return !workers_.contains(name); });
        if (dead != changed.end()) {
            changed.erase(dead);
        } else if (changed.size() < Witnesses) {
            const auto fresh = std::find_if(workers_.begin(), workers_.end(), [&changed](const auto &item) {
                return !changed.contains(item.first);
            });
            changed.insert(fresh->first);
        }
        YW_INVARIANT(majoritiesIntersect(assignment.witnesses, changed), "majorities must intersect after one change");
        return std::exchange(assignment.witnesses, changed) != changed;
    }

    Network network_;
    std::mt19937_64 random_;
    std::map<std::uint32_t, Candidate> candidates_;
    std::map<WorkerRunName, Worker> workers_;
    std::set<WorkerRunName> lostWitnesses_;
    std::optional<base::TimePoint> lostSince_;
    std::vector<ZoneAssignment> issued_;
    std::uint64_t ownedEpoch_ = 0; ///< Log epoch of the newest assignment whose owner has owned the zone.
    bool logReachable_ = true;
    base::TimePoint now_{std::chrono::hours(1)};
    base::TimePoint nextIssue_{};
    std::uint64_t incarnation_ = 0;
    std::uint32_t nextWorker_ = 0;
    std::uint64_t commandsAdmitted_ = 0;
    std::uint64_t commandsRefused_ = 0;
};

enum class Fault : std::uint8_t {
    None,
    Kill,
    Start,
    Pause,
    CutWorker,
    Heal,
    LoseLog,
    RestoreLog,
    RestartWorker,
};

struct Action {
    Fault fault = Fault::None;
    std::uint32_t node = 0;
    std::uint32_t worker = 0;
    std::uint32_t amount = 0;
};

std::ostream &operator<<(std::ostream &out, const Action &action)
{
    return out << '{' << static_cast<int>(action.fault) << ' ' << action.node << ' ' << action.worker << ' '
               << action.amount << '}';
}

void apply(Zone &zone, const Action &action, std::uint32_t candidates)
{
    const std::uint32_t node = 1 + action.node % candidates;
    switch (action.fault) {
    case Fault::None:
        break;
    case Fault::Kill:
        zone.kill(node);
        break;
    case Fault::Start:
        zone.start(node);
        break;
    case Fault::Pause:
        zone.pause(node, std::chrono::milliseconds(action.amount * 5));
        break;
    case Fault::CutWorker:
        zone.network().cut(node, FirstWorkerNode + action.worker);
        zone.network().cut(FirstWorkerNode + (action.worker + 1) % 7, node);
        break;
    case Fault::Heal:
        zone.network().heal();
        break;
    case Fault::LoseLog:
        zone.setLogReachable(false);
        break;
    case Fault::RestoreLog:
        zone.setLogReachable(true);
        break;
    case Fault::RestartWorker:
        zone.restartWorker(action.worker);
        break;
    }
    zone.run(std::chrono::milliseconds(action.amount * 4));
}

} // namespace

namespace rc
{

template <>
struct Arbitrary<Action> {
    static Gen<Action> arbitrary()
    {
        const auto uniform = [](std::uint32_t bound) {
            return gen::resize(kNominalSize, gen::inRange<std::uint32_t>(0, bound));
        };
        return gen::build<Action>(gen::set(&Action::fault,
                                           gen::weightedElement<Fault>({{2, Fault::None},
                                                                        {2, Fault::Kill},
                                                                        {4, Fault::Start},
                                                                        {3, Fault::Pause},
                                                                        {3, Fault::CutWorker},
                                                                        {2, Fault::Heal},
                                                                        {2, Fault::LoseLog},
                                                                        {2, Fault::RestoreLog},
                                                                        {1, Fault::RestartWorker}})),
                                  gen::set(&Action::node, uniform(3)),
                                  gen::set(&Action::worker, uniform(7)),
                                  gen::set(&Action::amount, uniform(5000)));
    }
};

} // namespace rc

RC_GTEST_PROP(ZoneOwnership, aZoneHasOneOwnerUnderFaults, (const std::vector<Action> &actions, std::uint64_t seed))
{
    const std::uint32_t candidates = 1 + seed % 3;
    Zone zone(candidates, Witnesses, seed);
    zone.network().setFaults({10, 10, 1ms, 1500ms});
    for (const Action &action : actions) {
        apply(zone, action, candidates);
    }
    zone.heal();
    zone.run(40s);
    const std::uint64_t before = zone.commandsAdmitted();
    zone.run(20s);
    RC_ASSERT(zone.owner() != 0U);
    RC_ASSERT(zone.commandsAdmitted() > before);
}

TEST(ZoneOwnership, aPartitionedZoneHasAnOwnerWhileOneCandidateLives)
{
    for (std::uint32_t candidates = 1; candidates <= 3; ++candidates) {
        Zone zone(candidates, Witnesses, 3);
        ASSERT_TRUE(zone.runUntilOwned(10s));
        zone.setLogReachable(false);
        zone.run(30s);
        for (std::uint32_t alive = candidates; alive > 1; --alive) {
            const std::uint32_t owner = zone.owner();
            ASSERT_NE(owner, 0U) << candidates << " candidates, " << alive << " alive";
            zone.kill(owner);
            zone.run(30s);
        }
        zone.kill(zone.owner());
        zone.run(60s);
        EXPECT_EQ(zone.owner(), 0U);
        EXPECT_EQ(zone.assignmentsIssued(), 1U);
    }
}

TEST(ZoneOwnership, aLeavingOwnerIsReplacedWithoutWaitingForItsLeases)
{
    Zone zone(2, Witnesses, 3);
    ASSERT_TRUE(zone.runUntilOwned(10s));
    zone.run(5s);
    const std::uint32_t owner = zone.owner();
    zone.resign(owner);
    zone.kill(owner);
    zone.run(6s);
    EXPECT_EQ(zone.owner(), 3 - owner);
}

TEST(ZoneOwnership, lateCommandsOfAPausedOwnerAreRefused)
{
    Zone zone(2, Witnesses, 3);
    ASSERT_TRUE(zone.runUntilOwned(10s));
    const std::uint32_t paused = zone.owner();
    zone.network().setFaults({0, 0, 25s, 25s});
    zone.run(1s);
    zone.pause(paused, 60s);
    zone.network().setFaults({0, 0, 1ms, 1ms});
    zone.run(60s);
    EXPECT_EQ(zone.owner(), 3 - paused);
    EXPECT_GT(zone.commandsRefused(), 0U);
}

TEST(FencingGate, aReleaseOlderThanALaterRequestChangesNothing)
{
    FencingGate gate(Lease);
    const ProcessId owner{1, 1};
    const base::TimePoint now{1h};
    ASSERT_TRUE(gate.request(owner, Epoch{1, 0}, now, now));
    ASSERT_TRUE(gate.request(owner, Epoch{1, 0}, now + 2s, now + 2s));
    gate.release(owner, Epoch{1, 0}, now + 1s);
    EXPECT_FALSE(gate.check(ProcessId{2, 1}, Epoch{1, 1}, now + 3s));
    gate.release(owner, Epoch{1, 0}, now + 3s);
    EXPECT_TRUE(gate.request(ProcessId{2, 1}, Epoch{1, 1}, now + 3s, now + 3s));
    EXPECT_FALSE(gate.admit(owner, Epoch{1, 0}, now + 3s));
    EXPECT_TRUE(gate.admit(ProcessId{2, 1}, Epoch{1, 1}, now + 3s));
    EXPECT_FALSE(gate.admit(ProcessId{2, 0}, Epoch{1, 1}, now + 3s))
        << "an earlier run of the owner with the same epoch";
    EXPECT_FALSE(gate.admit(ProcessId{2, 1}, Epoch{1, 2}, now + 3s)) << "an epoch that was never granted";
    EXPECT_FALSE(gate.admit(ProcessId{2, 1}, Epoch{1, 1}, now + 14s)) << "the grant has expired";
}

TEST(Epoch, candidatesNeverShareAnEpoch)
{
    Epoch epoch{4, 0};
    for (std::uint32_t i = 0; i < 30; ++i) {
        const std::uint32_t position = (i * 7) % 3;
        const Epoch next = nextSuccessionEpoch(epoch, position, 3);
        EXPECT_LT(epoch, next);
        EXPECT_EQ(next.successionRank % 3, position);
        EXPECT_LE(next.successionRank, epoch.successionRank + 3);
        epoch = next;
    }
}

TEST(ZoneOwnership, anAnswerToAnEarlierClaimDoesNotCount)
{
    ZoneOwnership ownership(OwnershipSettings{ProcessId{1, 1}, Lease});
    base::TimePoint now{1h};
    ownership.updateAssignment(ZoneAssignment{1, {1, 2}, {"worker"}}, now);
    const auto claim = [&] {
        for (int i = 0; i < 1000; ++i, now += 20ms) {
            for (const GrantRequest &request : ownership.tick(now)) {
                if (request.kind == GrantKind::Request) {
                    return request;
                }
                if (request.kind == GrantKind::Check) {
                    ownership.receive({request.kind, "worker", request.owner, request.epoch, now, true, {}}, now);
                }
            }
        }
        return GrantRequest{};
    };
    const GrantRequest first = claim();
    now += 3s;
    EXPECT_EQ(ownership.tick(now).front().kind, GrantKind::Release);
    const GrantRequest second = claim();
    ASSERT_EQ(first.epoch, second.epoch);
    ownership.receive({first.kind, "worker", first.owner, first.epoch, first.sentAt, true, first.epoch}, now);
    EXPECT_FALSE(ownership.owns(now)) << "the worker has been released since and may have another owner";
    ownership.receive({second.kind, "worker", second.owner, second.epoch, second.sentAt, true, second.epoch}, now);
    EXPECT_TRUE(ownership.owns(now));
}

TEST(Lease, expiresForTheHolderFirstAtTheLargestDrift)
{
    HeldLease held(Lease);
    GrantedLease granted(Lease);
    const base::TimePoint start{1h};
    held.renew(start);
    granted.grant(start);
    for (std::chrono::milliseconds passed{0}; passed < 11s; ++passed) {
        const base::Duration drift = base::Duration(passed) * Lease.maxDriftPpm / PartsPerMillion / 2;
        const bool gone = granted.isExpiredAt(start + passed + drift);
        EXPECT_FALSE(gone && held.isValidAt(start + passed - drift)) << passed.count();
    }
    EXPECT_FALSE(held.isValidAt(start + 10s));
    EXPECT_TRUE(granted.isExpiredAt(start + 10'010ms));
}
