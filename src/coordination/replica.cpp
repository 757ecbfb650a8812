#include "coordination/replica.h"

#include "base/invariant.h"

#include <iterator>
#include <utility>

namespace yuccawheel::coordination
{

namespace
{

constexpr std::size_t MaxFlushBytes = std::size_t{1024} * 1024; // Committed entries handed out by one flush.
constexpr std::chrono::milliseconds SaveRetryInterval{100}; // While the disk is full.

} // namespace

StorageResult<std::unique_ptr<Replica>>
Replica::start(ReplicaSettings settings, LogStorage &storage, base::TimePoint now)
{
    auto state = storage.recover();
    if (!state) {
        return tl::unexpected(state.error());
    }
    auto snapshot = storage.loadSnapshot();
    if (!snapshot) {
        return tl::unexpected(snapshot.error());
    }
    return std::unique_ptr<Replica>(
        new Replica(std::move(settings), storage, std::move(*state), std::move(*snapshot), now));
}

Replica::Replica(
    ReplicaSettings settings, LogStorage &storage, RecoveredState state, std::string snapshot, base::TimePoint now)
    : settings_(std::move(settings))
    , storage_(storage)
    , log_(settings_.log, std::move(state), storage, now)
{
    if (log_.appliedIndex() > 0) {
        loadedSnapshot_ = std::move(snapshot);
    }
}

StorageResult<void> Replica::formCluster(LogStorage &storage, ClusterId cluster, ReplicaId self, const ReplicaSet &set)
{
    const auto held = storage.recover();
    if (!held) {
        return tl::unexpected(held.error());
    }
    if (held->hardState.self != ReplicaId{}) {
        return tl::unexpected(StorageError{StorageFailure::InUse, "the folder already holds a replica"});
    }
    const RecoveredState state = ReplicatedLog::bootstrap(cluster, self, set);
    return storage.save(state.hardState, state.entries);
}

void Replica::tick(base::TimePoint now)
{
    if (!isDiskFull()) {
        log_.tick(now);
    }
}

void Replica::receive(const Message &message, base::TimePoint now)
{
    if (!isDiskFull()) {
        log_.receive(message, now);
    }
}

tl::expected<Position, ProposeError> Replica::propose(std::string data)
{
    // Free space is otherwise checked after writes, and a full disk gets none while proposals are refused.
    if (lowSpace_) {
        updateLowSpace();
    }
    if (lowSpace_ || isDiskFull()) {
        return tl::unexpected(ProposeError{ProposeFailure::DiskFull, log_.leader()});
    }
    return log_.propose(std::move(data));
}

tl::expected<void, ProposeError> Replica::requestRead(std::uint64_t readId)
{
    if (isDiskFull()) {
        return tl::unexpected(ProposeError{ProposeFailure::DiskFull, log_.leader()});
    }
    return log_.requestRead(readId);
}

tl::expected<Position, ProposeError> Replica::removeReplica(ReplicaId id, base::TimePoint now)
{
    if (isDiskFull()) {
        return tl::unexpected(ProposeError{ProposeFailure::DiskFull, log_.leader()});
    }
    return log_.removeReplica(id, now);
}

bool Replica::handOverLeadership(base::TimePoint now)
{
    return !isDiskFull() && log_.handOverLeadership(now);
}

// Each Ready is persisted before its messages are collected, so that no message leaves before the state that it
// promises is on disk.
StorageResult<ReplicaOutput> Replica::flush(base::TimePoint now)
{
    YW_INVARIANT(!failed_, "a replica must not continue after a failed write");
    ReplicaOutput output;
    output.snapshot = std::exchange(loadedSnapshot_, std::nullopt);
    const std::size_t appliedBefore = appliedBytes_;
    if (isDiskFull() && now < nextSave_) {
        return output;
    }
    while (true) {
        Ready ready = unsaved_ ? std::move(*unsaved_) : log_.takeReady(now);
        unsaved_.reset();
        if (ready.empty()) {
            return output;
        }
        if (auto done = persist(ready); !done) {
            if (done.error().failure == StorageFailure::NoSpace) {
                unsaved_ = std::move(ready);
                nextSave_ = now + SaveRetryInterval;
                return output;
            }
            failed_ = true;
            return tl::unexpected(done.error());
        }
        log_.markPersisted(now);
        if (ready.snapshot) {
            output.committed.clear();
        }
        collectOutput(std::move(ready), output);
        if (appliedBytes_ > appliedBefore + MaxFlushBytes) {
            output.hasMore = true;
            return output;
        }
    }
}

StorageResult<void> Replica::persist(const Ready &ready)
{
    if (ready.hardState && ready.snapshot) {
        if (auto done = storage_.save(ready.hardState, {}); !done) {
            return done;
        }
    }
    if (ready.snapshot) {
        if (auto done = storage_.installSnapshot(*ready.snapshot); !done) {
            return done;
        }
    }
    if (!ready.needsSync()) {
        return {};
    }
    if (auto done = storage_.save(ready.snapshot ? std::nullopt : ready.hardState, ready.entries); !done) {
        return done;
    }
    updateLowSpace();
    return {};
}

void Replica::updateLowSpace()
{
    const auto free = storage_.freeBytes();
    lowSpace_ = free && *free < settings_.diskReserveBytes;
}

void Replica::collectOutput(Ready ready, ReplicaOutput &output)
{
    if (ready.snapshot) {
        output.snapshot = std::move(ready.snapshot->bytes);
        appliedBytes_ = 0;
    }
    for (const Entry &entry : ready.committed) {
        appliedBytes_ += sizeOf(entry);
    }
    std::move(ready.messages.begin(), ready.messages.end(), std::back_inserter(output.messages));
    std::move(ready.committed.begin(), ready.committed.end(), std::back_inserter(output.committed));
    std::move(ready.reads.begin(), ready.reads.end(), std::back_inserter(waitingReads_));
    std::erase_if(waitingReads_, [&](const ReadReady &read) {
        const bool due = read.refused || read.index <= log_.appliedIndex();
        if (due) {
            output.reads.push_back(read);
        }
        return due;
    });
}

bool Replica::isSnapshotDue() const
{
    return appliedBytes_ >= settings_.snapshotThresholdBytes && !isDiskFull();
}

StorageResult<void> Replica::saveSnapshot(Index index, std::string_view bytes)
{
    YW_INVARIANT(index <= log_.appliedIndex(), "a snapshot must hold the state after an applied entry");
    if (index <= log_.snapshotIndex()) {
        return {};
    }
    SnapshotMeta meta = log_.describeSnapshot(index);
    if (auto done = storage_.saveSnapshot(meta, bytes); !done) {
        if (done.error().failure == StorageFailure::NoSpace) {
            return {};
        }
        failed_ = true;
        return done;
    }
    appliedBytes_ = 0;
    log_.markSnapshotSaved(meta);
    return {};
}

} // namespace yuccawheel::coordination
