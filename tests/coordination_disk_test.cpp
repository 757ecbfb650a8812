#include "coordination/file_log_storage.h"
#include "fakes/fake_cluster.h"
#include "fakes/fake_disk.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <filesystem>
#include <random>
#include <unistd.h>

using namespace yuccawheel;
using namespace yuccawheel::coordination;
using namespace std::chrono_literals;
using fakes::FakeCluster;
using fakes::FakeDisk;

namespace
{

constexpr FileLogSettings SmallSegments{400, 2};

/// Expected content of a storage.
struct Expected {
    HardState hardState;
    Index snapshot = 0;
    std::vector<Entry> entries; ///< Starting at index 1.
    Index replacedFrom = 0; ///< Last index before the entries of the latest save.
};

/// Writes a random history to a storage until done or killed.
class Writer
{
public:
    Writer(FakeDisk &disk, std::uint64_t seed) : storage_(disk, SmallSegments), random_(seed)
    {
        EXPECT_TRUE(storage_.recover().has_value());
    }

    /// Returns the content that was synced and must be on disk. `pending` is set to the content that the write in
    /// progress may have left instead.
    Expected run(int steps, Expected &pending)
    {
        Expected synced;
        try {
            for (int i = 0; i < steps; ++i) {
                pending = synced;
                step(pending);
                synced = pending;
            }
        } catch (const fakes::ProcessKilled &) {
        }
        return synced;
    }

private:
    void step(Expected &next)
    {
        const std::uint64_t choice = random_() % 10;
        const Index last = next.entries.size();
        if (choice == 0 && last > next.snapshot) {
            next.snapshot += 1 + random_() % (last - next.snapshot);
            SnapshotMeta meta{next.snapshot, next.entries[next.snapshot - 1].term, {}, 0, 0};
            EXPECT_TRUE(storage_.saveSnapshot(meta, bytesOf(next.snapshot)).has_value());
            return;
        }
        if (choice == 1) {
            install(next);
            return;
        }
        const Index from = last - (random_() % 4 == 0 ? random_() % (last - next.snapshot + 1) : 0);
        next.hardState = HardState{7, ReplicaId{1, 2}, next.hardState.term + 1, ReplicaId{}};
        std::vector<Entry> entries;
        for (Index index = from + 1; index <= from + 1 + random_() % 3; ++index) {
            const std::string data(random_() % 60, static_cast<char>('a' + random_() % 26));
            entries.push_back(Entry{index, next.hardState.term, EntryKind::Application, data});
        }
        next.entries.resize(from);
        next.replacedFrom = from;
        next.entries.insert(next.entries.end(), entries.begin(), entries.end());
        EXPECT_TRUE(storage_.save(next.hardState, entries).has_value());
    }

    // A snapshot from the leader replaces the log; of the entries it covers, only index and term of the last one
    // matter.
    void install(Expected &next)
    {
        next.snapshot = next.entries.size() + 1 + random_() % 3;
        const Entry end{next.snapshot, next.hardState.term + 1, EntryKind::Application, {}};
        next.entries.assign(next.snapshot, end);
        const std::string bytes = bytesOf(next.snapshot);
        SnapshotMeta meta{next.snapshot, end.term, {}, bytes.size(), 0};
        meta.checksum = 0;
        EXPECT_TRUE(storage_.installSnapshot(Snapshot{meta, bytes}).has_value());
    }

    static std::string bytesOf(Index index)
    {
        return std::string(index % 50, 's');
    }

    FileLogStorage storage_;
    std::mt19937_64 random_;
};

bool matches(const RecoveredState &state, const Expected &expected)
{
    const std::vector<Entry> after(expected.entries.begin() + static_cast<std::ptrdiff_t>(expected.snapshot),
                                   expected.entries.end());
    return state.hardState == expected.hardState && state.snapshot.index == expected.snapshot && state.entries == after;
}

// Of a save in progress, the hard state and a prefix of the entries may be on disk, each record complete.
bool matchesPartly(const RecoveredState &state, const Expected &synced, const Expected &pending)
{
    if (synced.snapshot != pending.snapshot) {
        return false;
    }
    Expected partly = synced;
    partly.hardState = pending.hardState;
    bool found = matches(state, partly);
    for (Index last = pending.replacedFrom + 1; last <= pending.entries.size() && !found; ++last) {
        partly.entries.assign(pending.entries.begin(), pending.entries.begin() + static_cast<std::ptrdiff_t>(last));
        found = matches(state, partly);
    }
    return found;
}

std::vector<std::string> fileNames(const FakeDisk &disk)
{
    return disk.list().value();
}

std::string newestSegment(const FakeDisk &disk)
{
    std::string newest;
    for (const std::string &name : fileNames(disk)) {
        if (name.starts_with("segment-")) {
            newest = std::max(newest, name);
        }
    }
    return newest;
}

} // namespace

// Guards against losing synced data in a crash. Kills the process at each disk operation of a history in turn, with and
// without loss of power, and again during the recovery. All synced data must be recovered, and each record of the write
// in progress completely or not at all.
RC_GTEST_PROP(FileLogStorage, aKillAtAnyWriteLosesNoSyncedData, (std::uint64_t seed))
{
    constexpr int Steps = 12;
    std::uint64_t operations = 1;
    for (std::uint64_t kill = 0; kill <= operations; ++kill) {
        FakeDisk disk(seed + kill);
        Expected pending;
        Expected synced;
        {
            Writer writer(disk, seed);
            disk.killAfter(kill);
            synced = writer.run(Steps, pending);
        }
        operations = std::max(operations, kill < disk.operations() ? disk.operations() : 0);
        for (std::uint64_t again = 0; again < 3; ++again) {
            if ((seed + kill) % 2 == 0) {
                disk.losePower();
            }
            disk.killAfter((seed >> again) % 6);
            try {
                FileLogStorage(disk, SmallSegments).recover();
            } catch (const fakes::ProcessKilled &) {
            }
        }
        disk.clearFaults();
        FileLogStorage storage(disk, SmallSegments);
        const auto state = storage.recover();
        if (!state) {
            RC_FAIL(state.error().detail);
        }
        RC_ASSERT(matches(*state, synced) || matches(*state, pending) || matchesPartly(*state, synced, pending));
        // A replica may act on the recovered state, so a later loss of power must not revert it.
        disk.losePower();
        FileLogStorage after(disk, SmallSegments);
        const auto again = after.recover();
        RC_ASSERT(again.has_value());
        RC_ASSERT(again->hardState == state->hardState && again->entries == state->entries);
        RC_ASSERT(after.save(std::nullopt, {}).has_value());
    }
}

// Guards against a replica that forgets its identity, term and vote: the process was killed between the first two
// records of a segment, so that the segment held no hard state, and the ones before were removed once a snapshot
// covered them.
TEST(FileLogStorage, hardStateOutlivesAKillWhileASegmentIsStarted)
{
    const HardState hardState{7, ReplicaId{1, 2}, 3, ReplicaId{1, 2}};
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        FakeDisk disk(seed);
        Index last = 0;
        const auto saveNext = [&](FileLogStorage &storage, std::size_t size) {
            const Entry entry{last + 1, 3, EntryKind::Application, std::string(size, 'x')};
            const auto saved = storage.save(last == 0 ? std::optional(hardState) : std::nullopt, {entry});
            last += saved ? 1 : 0;
            return saved.has_value();
        };
        {
            FileLogStorage storage(disk, SmallSegments);
            ASSERT_TRUE(storage.recover());
            ASSERT_TRUE(saveNext(storage, 40));
            disk.killAfter(seed % 40);
            try {
                while (last < 20 && saveNext(storage, 40)) {
                }
            } catch (const fakes::ProcessKilled &) {
            }
        }
        disk.clearFaults();
        {
            FileLogStorage storage(disk, SmallSegments);
            const auto recovered = storage.recover();
            ASSERT_TRUE(recovered);
            EXPECT_TRUE(recovered->hardState == hardState) << "seed " << seed;
            last = recovered->entries.back().index;
            for (int snapshot = 0; snapshot < 3; ++snapshot) {
                ASSERT_TRUE(saveNext(storage, 1));
                SnapshotMeta meta{last, 3, {}, 0, 0};
                ASSERT_TRUE(storage.saveSnapshot(meta, "s"));
            }
        }
        FileLogStorage storage(disk, SmallSegments);
        const auto again = storage.recover();
        ASSERT_TRUE(again);
        EXPECT_TRUE(again->hardState == hardState) << "seed " << seed;
    }
}

TEST(FileLogStorage, damageInTheMiddleIsAnErrorAndATornTailIsNot)
{
    FakeDisk disk(1);
    {
        FileLogStorage storage(disk, SmallSegments);
        ASSERT_TRUE(storage.recover());
        for (Index index = 1; index <= 20; ++index) {
            const Entry entry{index, 1, EntryKind::Application, std::string(40, 'x')};
            ASSERT_TRUE(storage.save(HardState{7, {1, 2}, 1, {}}, {entry}));
        }
    }
    std::size_t errors = 0;
    std::size_t bytes = 0;
    for (const std::string &name : fileNames(disk)) {
        const bool newest = name == newestSegment(disk);
        const std::uint64_t size = disk.size(name).value();
        for (std::uint64_t offset = 0; offset < size; ++offset, ++bytes) {
            FakeDisk copy = disk.clone();
            copy.damage(name, offset);
            FileLogStorage storage(copy, SmallSegments);
            const auto state = storage.recover();
            if (!state) {
                EXPECT_EQ(state.error().failure, StorageFailure::Damaged);
                EXPECT_NE(state.error().detail.find(name), std::string::npos) << state.error().detail;
                ++errors;
                continue;
            }
            EXPECT_TRUE(newest) << "undetected damage in a closed segment at byte " << offset;
            EXPECT_GE(state->entries.size(), 19U) << "only damage in the last write may be taken for a torn write";
        }
    }
    EXPECT_GT(errors, bytes / 2);
}

TEST(FileLogStorage, missingFilesAndFullDisksAreErrors)
{
    FakeDisk disk(1);
    FileLogStorage storage(disk, SmallSegments);
    ASSERT_TRUE(storage.recover());
    for (Index index = 1; index <= 30; ++index) {
        const Entry entry{index, 1, EntryKind::Application, std::string(40, 'x')};
        ASSERT_TRUE(storage.save(HardState{7, {1, 2}, 1, {}}, {entry}));
    }
    SnapshotMeta meta{15, 1, {}, 0, 0};
    ASSERT_TRUE(storage.saveSnapshot(meta, "state at fifteen"));
    for (const std::string &name : fileNames(disk)) {
        FakeDisk copy = disk.clone();
        ASSERT_TRUE(copy.remove(name));
        FileLogStorage damaged(copy, SmallSegments);
        EXPECT_EQ(damaged.recover().has_value(), name == newestSegment(disk)) << name;
    }
    disk.setCapacity(disk.usedBytes() + 20);
    SnapshotMeta later{20, 1, {}, 0, 0};
    EXPECT_EQ(storage.saveSnapshot(later, std::string(500, 's')).error().failure, StorageFailure::NoSpace);
    EXPECT_EQ(storage.save(HardState{7, {1, 2}, 2, {}}, {}).error().failure, StorageFailure::NoSpace);
    disk.clearFaults();
    FileLogStorage restarted(disk, SmallSegments);
    EXPECT_EQ(restarted.recover().value().snapshot.index, 15U);
    EXPECT_EQ(restarted.loadSnapshot().value(), "state at fifteen");
}

TEST(Replica, aFailedSyncEndsTheReplicaButNotTheCluster)
{
    FakeCluster cluster({3, 5});
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }, 5s));
    const std::uint32_t victim = cluster.leader();
    cluster.run(100ms);
    cluster.disk(victim).failSyncAfter(0);
    ASSERT_TRUE(cluster.propose(victim));
    cluster.run(5s);
    EXPECT_FALSE(cluster.running(victim));
    ASSERT_FALSE(cluster.storageErrors().empty());
    EXPECT_EQ(cluster.storageErrors()[0].failure, StorageFailure::SyncFailed);
    ASSERT_NE(cluster.leader(), 0U);
    EXPECT_TRUE(cluster.propose(cluster.leader()));
    cluster.run(100ms);
    EXPECT_GE(cluster.acknowledged().size(), 1U);
    cluster.start(victim);
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.settled(); }, 10s));
    cluster.checkAcknowledged();
}

// Guards against processes that end, again and again, while their disk is full. The leader's disk fills up in the
// middle of a write.
TEST(Replica, aLeaderWithAFullDiskStepsDownAndCatchesUpOnceThereIsSpace)
{
    FakeCluster cluster({3, 5});
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }, 5s));
    const std::uint32_t victim = cluster.leader();
    cluster.run(100ms);
    constexpr std::uint64_t PartOfAWrite = 10;
    cluster.disk(victim).setCapacity(cluster.disk(victim).usedBytes() + PartOfAWrite);
    ASSERT_TRUE(cluster.propose(victim));
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != victim; }, 5s));
    EXPECT_TRUE(cluster.running(victim));
    EXPECT_FALSE(cluster.propose(victim)) << "refused, not left unanswered";
    const std::size_t before = cluster.acknowledged().size();
    for (int change = 0; change < 20; ++change) {
        EXPECT_TRUE(cluster.propose(cluster.leader()));
        cluster.run(100ms);
    }
    EXPECT_EQ(cluster.acknowledged().size(), before + 20);
    cluster.disk(victim).clearFaults();
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.settled(); }, 10s));
    EXPECT_TRUE(cluster.storageErrors().empty());
    cluster.checkAcknowledged();
}

// Guards against a cluster that accepts nothing after its disks were full one after the other, with changes before,
// during and after, restarts on a full disk, and whatever part of a write still fits.
RC_GTEST_PROP(Replica, disksThatAreFullInTurnCostNothingThatWasAcknowledged, ())
{
    const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
    std::mt19937_64 random(seed);
    FakeCluster cluster({3, seed});
    RC_ASSERT(cluster.runUntil([&] { return cluster.leader() != 0; }, 5s));
    const auto sendChanges = [&](int count) {
        for (int change = 0; change < count; ++change) {
            if (cluster.leader() != 0) {
                cluster.propose(cluster.leader());
            }
            cluster.run(std::chrono::milliseconds(20 + random() % 100));
        }
    };
    for (std::uint32_t node = 1; node <= 3; ++node) {
        sendChanges(10);
        cluster.disk(node).setCapacity(cluster.disk(node).usedBytes() + random() % 400);
        sendChanges(10 + static_cast<int>(random() % 40));
        if (random() % 3 == 0) {
            cluster.losePower(node);
            cluster.start(node);
        }
        sendChanges(5);
        cluster.disk(node).clearFaults();
        if (!cluster.running(node)) {
            cluster.start(node); // Its stored state could not be prepared for use without space.
        }
    }
    const std::size_t before = cluster.acknowledged().size();
    RC_ASSERT(cluster.runUntil([&] { return cluster.settled(); }, 20s));
    RC_ASSERT(cluster.propose(cluster.leader()));
    cluster.run(500ms);
    RC_ASSERT(cluster.acknowledged().size() > before);
    cluster.checkAcknowledged();
}

TEST(Replica, proposalsAreAcceptedAgainOnceTheDiskHasFreeSpace)
{
    FakeDisk disk(1);
    FileLogStorage storage(disk);
    const ReplicaSet set{{{{1, 1}, true}}};
    ASSERT_TRUE(Replica::formCluster(storage, 7, {1, 1}, set));
    ReplicaSettings settings;
    settings.log.self = {1, 1};
    settings.log.nodes = {1};
    settings.diskReserveBytes = 1'000;
    base::TimePoint now{1h};
    FileLogStorage started(disk);
    const auto replica = std::move(*Replica::start(settings, started, now));
    const auto step = [&] {
        now += 10ms;
        replica->tick(now);
        ASSERT_TRUE(replica->flush(now).has_value());
    };
    step();
    ASSERT_TRUE(replica->propose("first").has_value());
    disk.setCapacity(disk.usedBytes() + 500);
    step();
    ASSERT_FALSE(replica->propose("second").has_value());
    EXPECT_EQ(replica->propose("second").error().failure, ProposeFailure::DiskFull);
    disk.clearFaults();
    EXPECT_TRUE(replica->propose("third").has_value());
}

TEST(PosixFileSystem, aRealFolderKeepsTheLogAndRejectsASecondProcess)
{
    const auto folder = std::filesystem::temp_directory_path() / ("yw-disk-test-" + std::to_string(::getpid()));
    {
        const auto files = openFolder(folder.string());
        ASSERT_TRUE(files);
        EXPECT_EQ(openFolder(folder.string()).error().failure, StorageFailure::InUse);
        FileLogStorage storage(**files, SmallSegments);
        ASSERT_TRUE(storage.recover());
        for (Index index = 1; index <= 30; ++index) {
            ASSERT_TRUE(storage.save(HardState{7, {1, 2}, index, {}},
                                     {Entry{index, index, EntryKind::Application, std::string(40, 'x')}}));
        }
        SnapshotMeta meta{20, 20, {}, 0, 0};
        ASSERT_TRUE(storage.saveSnapshot(meta, "state"));
    }
    {
        const auto files = openFolder(folder.string());
        ASSERT_TRUE(files);
        FileLogStorage storage(**files, SmallSegments);
        const auto state = storage.recover();
        ASSERT_TRUE(state);
        EXPECT_EQ(state->hardState.term, 30U);
        EXPECT_EQ(state->entries.size(), 10U);
        EXPECT_EQ(storage.loadSnapshot().value(), "state");
        EXPECT_GT(storage.freeBytes().value(), 0U);
    }
    std::filesystem::remove_all(folder);
}
