// Three replicas of one register in one process, with their storage in folders and with simulated time. The program
// writes through the leader, deletes the leader's disk, writes again through the new leader, and restarts the lost
// replica with an empty disk until it has caught up and votes again.

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
constexpr std::uint32_t ReplicaCount = 3;
constexpr milliseconds Step{10};
constexpr milliseconds Timeout{60'000};

/// Returns the value or exits on a storage error, as any process that hosts a replica must.
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

/// One replica with its storage and the state built from its committed entries.
class Node
{
public:
    Node(const std::string &folder, std::uint32_t number, std::uint32_t generation, base::TimePoint now)
        : files_(orExit(openFolder(folder)))
        , storage_(*files_)
    {
        ReplicaSettings settings;
        settings.log.self = ReplicaId{number, generation};
        settings.log.seed = number + std::uint64_t{generation} * ReplicaCount;
        settings.diskReserveBytes = 0;
        for (std::uint32_t node = 1; node <= ReplicaCount; ++node) {
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

    /// Writes pending entries to disk, applies committed entries, and appends outgoing messages to `network`.
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

/// All replicas and the queue of messages between them that replaces a network.
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
        for (std::uint32_t number = 1; number <= ReplicaCount; ++number) {
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

    /// Returns the number of the leader, or 0 if there is none.
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

    /// Proposes a value at the leader and waits until the leader has applied it, which requires a majority.
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
        for (milliseconds passed{0}; passed < Timeout && !condition(); passed += Step) {
            step();
        }
        return condition();
    }

private:
    std::string folderOf(std::uint32_t number) const
    {
        return folder_ / std::to_string(number);
    }

    // A networked program runs the same loop for its own node: receive the messages, tick, flush.
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

int fail(const char *message)
{
    std::fprintf(stderr, "failed: %s\n", message);
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
    if (!group.runUntil([&] { return group.voters() == ReplicaCount; })) {
        return fail("not all replicas became voters");
    }
    std::printf("voters: %zu\n", group.voters());
    if (!group.write("first")) {
        return fail("the first write was not committed");
    }

    const std::uint32_t lost = group.leader();
    group.loseDisk(lost);
    if (!group.write("second")) {
        return fail("the write without the lost replica was not committed");
    }
    std::printf("written after the leader's disk was lost: %s\n", group.valueAt(group.leader()).c_str());

    // A replica with an empty disk starts as a new generation and has no vote until it has caught up.
    group.start(lost, 2);
    if (!group.runUntil([&] { return group.voters() == ReplicaCount && group.valueAt(lost) == "second"; })) {
        return fail("the empty replica did not catch up");
    }
    std::printf("read at the replaced replica: %s\n", group.valueAt(lost).c_str());
    return 0;
}
