#include "state_replicas.h"

#include "base/bounded_queue.h"
#include "base/invariant.h"
#include "coordination/file_log_storage.h"
#include "coordination/replica.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <deque>
#include <filesystem>
#include <memory>
#include <thread>
#include <vector>

namespace yuccawheel::bench
{

namespace
{

using namespace coordination;
using base::BootClock;
using base::TimePoint;

constexpr std::uint32_t Replicas = 3;
constexpr std::size_t InboxMessages = 4096;
constexpr std::chrono::microseconds PollInterval{200};

using Inbox = base::BoundedQueue<Message>;
using Inboxes = std::array<std::unique_ptr<Inbox>, Replicas>;

/// One replica and its thread's loop. The leader keeps the requested number of proposals outstanding.
class ReplicaRunner
{
public:
    ReplicaRunner(std::uint32_t node, const AppendLoad &load, Inboxes &inboxes)
        : load_(load)
        , inboxes_(inboxes)
        , inbox_(*inboxes[node - 1])
    {
        auto files = openFolder(load.folder + "/" + std::to_string(node));
        YW_INVARIANT(files.has_value(), "the log folder can be opened");
        files_ = std::move(*files);
        ReplicaSet set;
        for (std::uint32_t i = 1; i <= Replicas; ++i) {
            set.members.push_back(Member{ReplicaId{i, 1}, true});
        }
        FileLogStorage empty(*files_);
        YW_INVARIANT(Replica::formCluster(empty, 1, ReplicaId{node, 1}, set).has_value(),
                     "the cluster is formed in an empty folder");
        storage_ = std::make_unique<FileLogStorage>(*files_);
        ReplicaSettings settings;
        settings.log.self = ReplicaId{node, 1};
        settings.log.nodes = {1, 2, 3};
        settings.log.seed = node;
        settings.diskReserveBytes = 0;
        replica_ = std::move(*Replica::start(settings, *storage_, BootClock::now()));
    }

    void run(const std::atomic<bool> &stop)
    {
        while (!stop.load()) {
            if (auto message = inbox_.popFor(PollInterval)) {
                replica_->receive(*message, BootClock::now());
                while (auto more = inbox_.tryPop()) {
                    replica_->receive(*more, BootClock::now());
                }
            }
            replica_->tick(BootClock::now());
            propose();
            flush();
        }
    }

    std::vector<double> &latenciesUs()
    {
        return latenciesUs_;
    }

private:
    void propose()
    {
        while (pending_.size() < load_.outstanding) {
            const TimePoint now = BootClock::now();
            const auto position = replica_->propose(std::string(load_.entryBytes, 'e'));
            if (!position) {
                return;
            }
            pending_.emplace_back(position->index, now);
        }
    }

    void flush()
    {
        auto output = replica_->flush(BootClock::now());
        YW_INVARIANT(output.has_value(), "the output is saved");
        for (Message &message : output->messages) {
            inboxes_.at(message.to.node - 1)->tryPush(std::move(message));
        }
        for (const Entry &entry : output->committed) {
            while (!pending_.empty() && pending_.front().first <= entry.index) {
                const auto latency = BootClock::now() - pending_.front().second;
                latenciesUs_.push_back(std::chrono::duration<double, std::micro>(latency).count());
                pending_.pop_front();
            }
        }
        if (replica_->isSnapshotDue()) {
            const auto saved = replica_->saveSnapshot(replica_->log().appliedIndex(), "state");
            YW_INVARIANT(saved.has_value(), "the snapshot is saved");
        }
    }

    AppendLoad load_;
    Inboxes &inboxes_;
    Inbox &inbox_;
    std::unique_ptr<FileSystem> files_;
    std::unique_ptr<FileLogStorage> storage_;
    std::unique_ptr<Replica> replica_;
    std::deque<std::pair<Index, TimePoint>> pending_;
    std::vector<double> latenciesUs_;
};

double percentile(std::vector<double> &values, double quantile)
{
    if (values.empty()) {
        return 0;
    }
    const auto at = static_cast<std::ptrdiff_t>(static_cast<double>(values.size() - 1) * quantile);
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return values[static_cast<std::size_t>(at)];
}

} // namespace

AppendResult measureAppends(const AppendLoad &load)
{
    std::filesystem::create_directories(load.folder);
    Inboxes inboxes;
    for (auto &inbox : inboxes) {
        inbox = std::make_unique<Inbox>(InboxMessages);
    }
    std::vector<std::unique_ptr<ReplicaRunner>> runners;
    for (std::uint32_t node = 1; node <= Replicas; ++node) {
        runners.push_back(std::make_unique<ReplicaRunner>(node, load, inboxes));
    }
    std::atomic<bool> stop{false};
    std::vector<std::thread> threads;
    threads.reserve(Replicas);
    for (const auto &runner : runners) {
        threads.emplace_back([&runner, &stop] { runner->run(stop); });
    }
    constexpr std::chrono::milliseconds ElectionTime{2'500};
    std::this_thread::sleep_for(ElectionTime + load.duration);
    stop.store(true);
    for (std::thread &thread : threads) {
        thread.join();
    }
    std::vector<double> latencies;
    for (const auto &runner : runners) {
        latencies.insert(latencies.end(), runner->latenciesUs().begin(), runner->latenciesUs().end());
    }
    AppendResult result;
    result.acknowledged = latencies.size();
    double totalLatencyUs = 0;
    for (const double latency : latencies) {
        totalLatencyUs += latency;
    }
    // Little's law gives the rate from the outstanding proposals and the mean latency, independent of when the leader
    // was elected.
    result.entriesPerSecond =
        totalLatencyUs == 0 ? 0 : static_cast<double>(load.outstanding * latencies.size()) * 1e6 / totalLatencyUs;
    result.p50Us = percentile(latencies, 0.5);
    result.p99Us = percentile(latencies, 0.99);
    std::filesystem::remove_all(load.folder);
    return result;
}

} // namespace yuccawheel::bench
