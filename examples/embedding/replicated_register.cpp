// Three replicas of one register with their disks in folders, in one process and in virtual time. The program writes
// through the leader, loses the leader's disk, goes on, and lets the empty replica catch up until it votes again.

#include "coordination/file_log_storage.h"
#include "coordination/file_system.h"
#include "coordination/replica.h"
#include "coordination/replica_set.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <type_traits>
#include <utility>

using namespace yuccawheel;
using namespace yuccawheel::coordination;
using std::chrono::milliseconds;

namespace
{

constexpr ClusterId Cluster = 20261204;
constexpr std::uint32_t Replicas = 3;
constexpr milliseconds Step{10};
constexpr milliseconds Limit{60'000};

/// Ends the program on an error of the disk, as a process that holds a replica has to.
template <typename Value>
Value orExit(StorageResult<Value> result)
{
    if (!result) {
        std::fprintf(stderr, "storage: %s\n", result.error().detail.c_str());
        std::exit(1);
    }
    if constexpr (!std::is_void_v<Value>) {
        return std::move(*result);
    }
}

/// One replica with its disk and the state that it builds from committed entries.
class Node
{
public:
    Node(const std::string &folder, std::uint32_t number, std::uint32_t generation, base::TimePoint now)
        : files_(orExit(openFolder(folder)))
        , storage_(*files_)
    {
        ReplicaSettings settings;
        settings.log.self = ReplicaId{number, generation};
        settings.log.seed = number + std::uint64_t{generation} * Replicas;
        settings.diskReserveBytes = 0;
        for (std::uint32_t node = 1; node <= Replicas; ++node) {
            settings.log.nodes.push_back(node);
        }
        replica_ = orExit(Replica::start(settings, storage_, now));
    }

    Replica &replica()
    {
        return *replica_;
    }
    const std::string &value() const
    {
        return value_;
    }

    /// Saves what is due, applies what is committed, and hands the messages over to `network`.
    void flush(std::deque<Message> &network, base::TimePoint now)
    {
        ReplicaOutput output = orExit(replica_->flush(now));
        if (output.snapshot) {
            value_ = *output.snapshot;
        }
        for (Entry &entry : output.committed) {
            if (entry.kind == EntryKind::Application) {
                value_ = std::move(entry.data);
            }
            if (replica_->isSnapshotDue()) {
                orExit(replica_->saveSnapshot(entry.index, value_));
            }
        }
        for (Message &message : output.messages) {
            network.push_back(std::move(message));
        }
    }

private:
    std::unique_ptr<FileSystem> files_;
    FileLogStorage storage_;
    std::unique_ptr<Replica> replica_;
    std::string value_;
};

/// All replicas, and the messages between them in place of a network.
class Group
{
public:
    explicit Group(std::filesystem::path folder) : folder_(std::move(folder))
    {
        std::filesystem::create_directories(folder_);
        ReplicaSet first;
        first.members.push_back(Member{ReplicaId{1, 1}, true});
        {
            const std::unique_ptr<FileSystem> files = orExit(openFolder(folderOf(1)));
            FileLogStorage storage(*files);
            orExit(Replica::formCluster(storage, Cluster, ReplicaId{1, 1}, first));
        }
        for (std::uint32_t number = 1; number <= Replicas; ++number) {
            start(number, 1);
        }
    }

    void start(std::uint32_t number, std::uint32_t generation)
    {
        nodes_[number] = std::make_unique<Node>(folderOf(number), number, generation, now_);
    }

    void loseDisk(std::uint32_t number)
    {
        nodes_.erase(number);
        std::filesystem::remove_all(folderOf(number));
    }

    /// Returns the node that leads, or 0.
    std::uint32_t leader() const
    {
        for (const auto &[number, node] : nodes_) {
            if (node->replica().log().role() == Role::Leader) {
                return number;
            }
        }
        return 0;
    }

    std::size_t voters() const
    {
        return leader() == 0 ? 0 : voterCount(nodes_.at(leader())->replica().log().replicaSet());
    }

    /// Writes through the leader and waits until a majority has the value on disk.
    bool write(const std::string &value)
    {
        if (!runUntil([this] { return leader() != 0; })) {
            return false;
        }
        Node &node = *nodes_.at(leader());
        return node.replica().propose(value).has_value() && runUntil([&] { return node.value() == value; });
    }

    const std::string &valueAt(std::uint32_t number) const
    {
        return nodes_.at(number)->value();
    }

    template <typename Condition>
    bool runUntil(Condition condition)
    {
        for (milliseconds passed{0}; passed < Limit && !condition(); passed += Step) {
            step();
        }
        return condition();
    }

private:
    std::string folderOf(std::uint32_t number) const
    {
        return folder_ / std::to_string(number);
    }

    // A program with a network would do this for its one node: take what has come, then tick, then flush.
    void step()
    {
        now_ += Step;
        for (std::deque<Message> arrived = std::exchange(network_, {}); const Message &message : arrived) {
            const auto found = nodes_.find(message.to.node);
            if (found != nodes_.end()) {
                found->second->replica().receive(message, now_);
            }
        }
        for (const auto &[number, node] : nodes_) {
            node->replica().tick(now_);
            node->flush(network_, now_);
        }
    }

    std::filesystem::path folder_;
    std::map<std::uint32_t, std::unique_ptr<Node>> nodes_;
    std::deque<Message> network_;
    base::TimePoint now_{std::chrono::hours(1)};
};

int failed(const char *what)
{
    std::fprintf(stderr, "failed: %s\n", what);
    return 1;
}

} // namespace

int main(int count, char **arguments)
{
    if (count != 2) {
        std::fprintf(stderr, "usage: replicated_register EMPTY_FOLDER\n");
        return 2;
    }
    Group group(arguments[1]);
    if (!group.runUntil([&] { return group.voters() == Replicas; })) {
        return failed("all replicas vote");
    }
    std::printf("voters: %zu\n", group.voters());
    if (!group.write("first")) {
        return failed("a write");
    }

    const std::uint32_t lost = group.leader();
    group.loseDisk(lost);
    if (!group.write("second")) {
        return failed("a write without the lost replica");
    }
    std::printf("written after the leader's disk was lost: %s\n", group.valueAt(group.leader()).c_str());

    // An empty disk gets a new generation: this replica has no vote until it has caught up.
    group.start(lost, 2);
    if (!group.runUntil([&] { return group.voters() == Replicas && group.valueAt(lost) == "second"; })) {
        return failed("the empty replica catches up");
    }
    std::printf("read at the replaced replica: %s\n", group.valueAt(lost).c_str());
    return 0;
}
