#pragma once

#include "coordination/file_log_storage.h"
#include "coordination/replica.h"
#include "fakes/called_workers.h"
#include "fakes/fake_disk.h"
#include "fakes/fake_network.h"
#include "workflow/manager_core.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace yuccawheel::fakes
{

/// Whole managers (replica with its files, state, job manager) in virtual time, with called workers, callers that send
/// their requests again, and faults of all of them. A seed gives the same run each time. What workers and callers see
/// is checked throughout; a broken guarantee ends the process. See CalledWorkers for what workers check.
class ManagerCluster
{
public:
    struct Options {
        std::uint64_t seed = 1;
        std::uint32_t managers = 3;
        std::uint32_t spares = 0; ///< Managers with empty disks, which join.
        std::chrono::milliseconds maxSyncTime{6};
        double maxClockDeviation = 0.01; ///< Of the managers' clock rates.
        CalledWorkers::Options workers;
    };

    /// Faults of all orders to workers.
    struct OrderFaults {
        double lostShare = 0; ///< Get no answer.
        double lateShare = 0; ///< Of those: are carried out 2 to 12 s later.
        std::chrono::milliseconds maxJitter{0}; ///< Answers may overtake each other by this.
    };

    explicit ManagerCluster(const Options &options);
    ~ManagerCluster();
    ManagerCluster(const ManagerCluster &) = delete;
    ManagerCluster &operator=(const ManagerCluster &) = delete;

    void run(std::chrono::milliseconds duration);
    template <typename Condition>
    bool runUntil(Condition condition, std::chrono::milliseconds limit)
    {
        for (const base::TimePoint end = now_ + limit; now_ < end;) {
            if (condition()) {
                return true;
            }
            step();
        }
        return condition();
    }

    std::vector<std::uint32_t> numbers() const;
    bool isRunning(std::uint32_t manager) const;
    /// Returns the manager that leads with the highest term, or 0.
    std::uint32_t leader() const;
    /// Returns the leader's core, or null.
    const workflow::ManagerCore *leadingCore() const;

    void kill(std::uint32_t manager);
    void losePower(std::uint32_t manager);
    /// Kills the process and replaces its disk by an empty one.
    void loseDisk(std::uint32_t manager);
    void start(std::uint32_t manager);
    void pause(std::uint32_t manager, std::chrono::milliseconds duration);
    void stallDisk(std::uint32_t manager, std::chrono::milliseconds duration);
    void setDiskFull(std::uint32_t manager, bool full);
    /// Kills the process during a disk operation that comes soon.
    void killDuringWrite(std::uint32_t manager);
    void handOver(std::uint32_t manager);
    /// Refuses a share of the proposals.
    void setRefusedShare(double share)
    {
        refusedShare_ = share;
    }
    void setOrderFaults(const OrderFaults &faults)
    {
        orderFaults_ = faults;
    }
    /// Cuts a manager off from a worker: its orders, the answers, or both.
    void cutOff(std::uint32_t manager, const std::string &worker, bool orders, bool answers);
    void healWorkerLinks()
    {
        cutLinks_.clear();
    }
    FakeNetwork<coordination::Message> &network()
    {
        return network_;
    }
    CalledWorkers &workers()
    {
        return workers_;
    }
    /// Lets a worker report that it leaves, until that is acknowledged or for some seconds. Then it crashes.
    void leave(const std::string &worker);
    std::vector<std::string> workerIds();
    base::TimePoint now() const
    {
        return now_;
    }
    std::mt19937_64 &random()
    {
        return random_;
    }

    /// Submits a job, again until it is accepted or the caller gives up after `attempts`.
    void submit(workflow::JobKey key, const workflow::JobSpec &spec, std::uint32_t attempts);
    void cancel(workflow::JobKey key);
    /// Puts the next version of the configuration in force, again until it is acknowledged.
    void changeConfiguration();

    /// Returns what is wrong with a job that was accepted, or nothing: all have to end once faults do. With `mayFail`,
    /// crashes of workers may have failed some.
    std::optional<std::string> findUnfinished(bool mayFail) const;
    /// Returns the number of jobs that were accepted.
    std::size_t acceptedJobs() const;
    std::uint64_t refusedProposals() const
    {
        return refusedProposals_;
    }

private:
    struct Node;
    struct Process;

    struct Request {
        workflow::JobKey job = 0;
        workflow::QueueVerb verb = workflow::QueueVerb::Submit;
        std::uint32_t attemptsLeft = 0;
        std::uint32_t target = 0; ///< Manager to ask next; 0 for any.
    };
    struct CallerJob {
        workflow::JobSpec spec;
        bool accepted = false;
        base::TimePoint acceptedAt{};
        bool mayRun = false; ///< An attempt may have taken effect.
        std::uint32_t outstanding = 0; ///< Attempts without a reply yet.
        bool cancelSent = false;
        bool cancelled = false; ///< Acknowledged.
    };
    struct PendingPoll {
        std::uint32_t manager = 0;
        std::uint64_t generation = 0;
        workflow::WorkerNumber worker = 0;
        workflow::WorkerIdentity identity;
        workflow::PollOrder order;
        std::int64_t born = 0; ///< Incarnation that the connection leads to.
        base::TimePoint arrivesAt{};
        base::TimePoint answerBy{};
    };

    void step();
    base::TimePoint nextEventAt() const;
    base::TimePoint localTime(const Node &node) const;
    workflow::WallTime wall() const;
    coordination::ReplicaSettings settingsOf(std::uint32_t manager);
    void openLog(Node &node);
    void stop(Node &node);
    void stepLog(Node &node);
    void flush(Node &node);
    void stepMain(Node &node);
    void stepPolls();
    void answerPoll(const PendingPoll &poll, const workflow::PollAnswer &answer);
    void stepReports();
    void stepLeaves();
    void reportLeaving(const std::string &worker, std::int64_t born);
    void report(const std::string &worker, std::uint32_t manager);
    void tryNextManager(const std::string &worker, std::chrono::milliseconds delay);
    void deliverReport(Node &node, const workflow::WorkerReport &report, bool forwarded);
    void send(const Request &request);
    void handleReply(Request request,
                     std::uint32_t manager,
                     const tl::expected<workflow::QueueReply, workflow::Unanswered> &reply);
    void sendAgain(Request request, std::chrono::milliseconds delay);
    void sendConfiguration(std::uint64_t version);
    Node *chooseManager(std::uint32_t preferred);
    bool isCut(std::uint32_t manager, const std::string &worker, bool orders) const;
    bool reaches(const Node &node, const workflow::WorkerIdentity &identity);
    template <typename Effect, typename Answered>
    void order(Node &node, const workflow::WorkerIdentity &identity, Effect effect, Answered answered);
    void checkStart(const workflow::WorkerIdentity &worker, const workflow::StartOrder &order) const;
    bool chance(double share);
    std::chrono::milliseconds randomTime(std::chrono::milliseconds least, std::chrono::milliseconds most);
    /// Runs a callback, unless the manager's process has ended by then; while it is paused, afterwards.
    void schedule(Node &node, base::TimePoint at, std::function<void()> callback);

    Options options_;
    std::mt19937_64 random_;
    FakeNetwork<coordination::Message> network_;
    CalledWorkers workers_;
    OrderFaults orderFaults_;
    double refusedShare_ = 0;
    base::TimePoint now_{std::chrono::hours(1)};
    std::map<std::uint32_t, std::unique_ptr<Node>> nodes_;
    std::multimap<base::TimePoint, std::function<void()>> events_;
    std::vector<PendingPoll> polls_;
    std::set<std::tuple<std::uint32_t, std::string, bool>> cutLinks_; ///< Manager, worker, and whether orders are lost.
    struct Leave {
        std::int64_t born = 0;
        base::TimePoint nextReport{};
        base::TimePoint endsAt{};
    };
    std::map<std::string, Leave> leaves_; ///< By worker id.
    std::map<std::string, base::TimePoint> nextReport_;
    std::map<std::string, std::uint32_t> reportTo_;
    std::set<std::pair<std::string, std::int64_t>> acknowledgedDrains_; ///< Worker id and start time.
    std::map<workflow::JobKey, CallerJob> jobs_;
    std::uint64_t configuration_ = 0; ///< Latest version that was sent.
    std::uint64_t acknowledgedConfiguration_ = 0;
    std::uint32_t nextGeneration_ = 100;
    std::uint64_t refusedProposals_ = 0;
};

} // namespace yuccawheel::fakes
