#include "fakes/fake_cluster.h"

#include "base/invariant.h"
#include "coordination/bytes.h"

#include <algorithm>
#include <utility>

namespace yuccawheel::fakes
{

using namespace coordination;

namespace
{

constexpr ClusterId TestCluster = 7;

std::string encodeValue(FakeCluster::Value value)
{
    std::string data;
    ByteWriter(data).number(value);
    return data;
}

FakeCluster::Value decodeValue(std::string_view data)
{
    return ByteReader(data).number<FakeCluster::Value>();
}

} // namespace

FakeCluster::FakeCluster(Options options) : options_(options), network_(options.seed)
{
    ReplicaSet set;
    for (std::uint32_t number = 1; number <= options_.replicas; ++number) {
        set.members.push_back(Member{ReplicaId{number, 1}, true});
    }
    for (const Member &member : set.members) {
        Node &node = nodes_[member.id.node];
        node.disk = std::make_unique<FakeDisk>(options_.seed * 31 + member.id.node);
        FileLogStorage storage(*node.disk);
        YW_INVARIANT(Replica::formCluster(storage, TestCluster, member.id, set).has_value(),
                     "the disk of a new replica must be empty");
        start(member.id.node);
    }
    for (std::uint32_t number = options_.replicas + 1; number <= options_.replicas + options_.spares; ++number) {
        nodes_[number].disk = std::make_unique<FakeDisk>(options_.seed * 31 + number);
        start(number);
    }
}

ReplicaSettings FakeCluster::settingsOf(std::uint32_t number)
{
    ReplicaSettings settings;
    settings.log.self = ReplicaId{number, nextGeneration_++};
    settings.log.seed = options_.seed * 1000 + nextGeneration_;
    settings.log.retainedBytes = options_.retainedBytes;
    settings.log.electionTimeout = options_.electionTimeout;
    settings.log.electionJitter = options_.electionJitter;
    settings.log.snapshotChunkBytes = 300;
    settings.log.snapshotWindowBytes = 900;
    settings.log.maxInFlightBytes = 2000;
    settings.log.maxBatchBytes = 400;
    settings.snapshotThresholdBytes = options_.snapshotEvery;
    settings.diskReserveBytes = 0;
    for (std::uint32_t node = 1; node <= options_.replicas; ++node) {
        settings.log.nodes.push_back(node);
    }
    if (options_.spares > 0) {
        settings.log.openMembership = true;
        settings.log.leaderLease = true;
        settings.log.maxVoters = options_.replicas;
        settings.log.maxLearners = 4;
        settings.log.replaceSilentAfter = std::chrono::seconds(10);
    }
    return settings;
}

void FakeCluster::start(std::uint32_t number)
{
    Node &node = nodes_.at(number);
    YW_INVARIANT(!node.replica, "a replica must not be started twice");
    node.application = Application{};
    try {
        node.storage = std::make_unique<FileLogStorage>(*node.disk, FileLogSettings{options_.segmentBytes, 2});
        auto replica = Replica::start(settingsOf(number), *node.storage, localTime(node));
        if (!replica) {
            storageErrors_.push_back(replica.error());
            return;
        }
        node.replica = std::move(*replica);
    } catch (const ProcessKilled &) {
        stop(node);
    }
}

void FakeCluster::stop(Node &node)
{
    node.replica.reset();
    node.storage.reset();
    node.unsaved.reset();
    node.waiting.clear();
    node.proposed.clear();
    node.reads.clear();
    node.pausedUntil = base::TimePoint{};
    node.disk->clearFaults();
}

void FakeCluster::kill(std::uint32_t number)
{
    stop(nodes_.at(number));
}

void FakeCluster::losePower(std::uint32_t number)
{
    stop(nodes_.at(number));
    nodes_.at(number).disk->losePower();
}

void FakeCluster::loseDisk(std::uint32_t number)
{
    Node &node = nodes_.at(number);
    stop(node);
    node.disk = std::make_unique<FakeDisk>(options_.seed * 37 + nextGeneration_);
}

void FakeCluster::pause(std::uint32_t number, std::chrono::milliseconds duration)
{
    nodes_.at(number).pausedUntil = now_ + duration;
}

void FakeCluster::setClockRate(std::uint32_t number, double rate)
{
    nodes_.at(number).clockRate = rate;
}

base::TimePoint FakeCluster::localTime(const Node &node) const
{
    return base::TimePoint(std::chrono::duration_cast<base::Duration>(now_.time_since_epoch() * node.clockRate));
}

bool FakeCluster::running(std::uint32_t number) const
{
    return nodes_.at(number).replica != nullptr;
}

const ReplicatedLog &FakeCluster::log(std::uint32_t number) const
{
    return nodes_.at(number).replica->log();
}

FakeDisk &FakeCluster::disk(std::uint32_t number)
{
    return *nodes_.at(number).disk;
}

void FakeCluster::run(std::chrono::milliseconds duration)
{
    for (std::chrono::milliseconds passed{0}; passed < duration; ++passed) {
        step();
    }
}

void FakeCluster::step()
{
    now_ += std::chrono::milliseconds(1);
    for (auto &delivery : network_.due(now_)) {
        Node &node = nodes_.at(delivery.to);
        if (node.replica) {
            node.waiting.push_back(std::move(delivery.message));
        }
    }
    for (auto &[number, node] : nodes_) {
        if (!node.replica || node.pausedUntil > now_) {
            continue;
        }
        node.replica->tick(localTime(node));
        for (const Message &message : std::exchange(node.waiting, {})) {
            node.replica->receive(message, localTime(node));
        }
        flush(node, number);
    }
}

void FakeCluster::flush(Node &node, std::uint32_t number)
{
    try {
        auto output = node.replica->flush(localTime(node));
        if (!output) {
            storageErrors_.push_back(output.error());
            stop(node);
            return;
        }
        checkLeader(node);
        handle(node, number, *output);
        if (node.replica->isSnapshotDue() && !node.unsaved) {
            node.unsaved = node.application;
            node.saveAt = now_ + options_.snapshotDelay;
        }
        if (node.unsaved && now_ >= node.saveAt) {
            saveSnapshot(node);
        }
    } catch (const ProcessKilled &) {
        stop(node);
    }
}

void FakeCluster::saveSnapshot(Node &node)
{
    const Application state = std::move(*node.unsaved);
    node.unsaved.reset();
    std::string bytes;
    for (const Value value : state.values) {
        bytes += encodeValue(value);
    }
    if (auto done = node.replica->saveSnapshot(state.index, bytes); !done) {
        storageErrors_.push_back(done.error());
        stop(node);
    }
}

void FakeCluster::handle(Node &node, std::uint32_t number, const ReplicaOutput &output)
{
    for (const Message &message : output.messages) {
        network_.send(number, message.to.node, message, now_);
    }
    if (output.snapshot) {
        node.application.values.clear();
        ByteReader reader(*output.snapshot);
        while (reader.remaining() > 0) {
            node.application.values.insert(reader.number<Value>());
        }
        const Index first =
            output.committed.empty() ? node.replica->log().appliedIndex() + 1 : output.committed[0].index;
        node.application.index = first - 1;
    }
    for (const Entry &entry : output.committed) {
        apply(node, entry);
    }
    for (const ReadReady &read : output.reads) {
        const Index needed = node.reads.at(read.readId);
        node.reads.erase(read.readId);
        if (!read.refused) {
            YW_INVARIANT(node.application.index >= needed, "a read must see every value acknowledged before it");
            ++readsServed_;
        }
    }
}

void FakeCluster::apply(Node &node, const Entry &entry)
{
    YW_INVARIANT(entry.index == node.application.index + 1, "entries must be applied in order and without gaps");
    node.application.index = entry.index;
    const auto [agreed, added] = agreed_.emplace(entry.index, entry);
    YW_INVARIANT(agreed->second == entry, "all replicas must apply the same entries");
    if (entry.kind == EntryKind::Application) {
        const bool fresh = node.application.values.insert(decodeValue(entry.data)).second;
        YW_INVARIANT(fresh, "an entry must not be applied twice");
    }
    const auto proposed = node.proposed.find(entry.index);
    if (proposed != node.proposed.end()) {
        if (proposed->second.first == entry.term) {
            acknowledged_.insert(proposed->second.second);
            acknowledgedIndex_ = std::max(acknowledgedIndex_, entry.index);
        }
        node.proposed.erase(proposed);
    }
}

void FakeCluster::checkLeader(const Node &node)
{
    const ReplicatedLog &log = node.replica->log();
    if (log.role() == Role::Leader) {
        const auto [known, added] = leaders_.emplace(log.term(), log.self());
        YW_INVARIANT(known->second == log.self(), "a term must have only one leader");
    }
}

bool FakeCluster::propose(std::uint32_t number)
{
    Node &node = nodes_.at(number);
    if (!node.replica || node.pausedUntil > now_) {
        return false;
    }
    const Value value = nextValue_++;
    const auto position = node.replica->propose(encodeValue(value));
    if (position) {
        node.proposed[position->index] = {position->term, value};
    }
    return position.has_value();
}

bool FakeCluster::read(std::uint32_t number)
{
    Node &node = nodes_.at(number);
    if (!node.replica || node.pausedUntil > now_ || !node.replica->requestRead(nextRead_)) {
        return false;
    }
    node.reads[nextRead_++] = acknowledgedIndex_;
    return true;
}

bool FakeCluster::remove(std::uint32_t number)
{
    Node &leading = nodes_.at(leader());
    return leading.replica->removeReplica(log(number).self(), localTime(leading)).has_value();
}

bool FakeCluster::handOver(std::uint32_t number)
{
    Node &node = nodes_.at(number);
    return node.replica != nullptr && node.replica->handOverLeadership(localTime(node));
}

std::uint32_t FakeCluster::leader() const
{
    std::uint32_t leader = 0;
    Term highest = 0;
    for (const auto &[number, node] : nodes_) {
        if (node.replica && node.replica->log().role() == Role::Leader && node.replica->log().term() > highest) {
            highest = node.replica->log().term();
            leader = number;
        }
    }
    return leader;
}

bool FakeCluster::settled() const
{
    const std::uint32_t leading = leader();
    if (leading == 0 || voterCount(log(leading).replicaSet()) != options_.replicas) {
        return false;
    }
    const Index last = log(leading).lastIndex();
    return std::all_of(nodes_.begin(), nodes_.end(), [last, spares = options_.spares > 0](const auto &item) {
        const Node &node = item.second;
        return node.replica && (spares || isVoter(node.replica->log().replicaSet(), node.replica->log().self()))
            && node.application.index == last;
    });
}

void FakeCluster::checkAcknowledged() const
{
    for (const auto &[number, node] : nodes_) {
        if (node.replica) {
            YW_INVARIANT(std::includes(node.application.values.begin(),
                                       node.application.values.end(),
                                       acknowledged_.begin(),
                                       acknowledged_.end()),
                         "an acknowledged entry must not be lost");
        }
    }
}

} // namespace yuccawheel::fakes
