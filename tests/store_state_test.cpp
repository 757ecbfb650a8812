#include "store/cluster_state.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <optional>
#include <random>

using namespace yuccawheel;
using namespace yuccawheel::store;

namespace
{

const std::vector<std::string> Zones{"a", "b", "c"};

placement::JobSpec randomJob(std::mt19937 &random, const std::string &name)
{
    placement::JobSpec spec;
    spec.name = name;
    spec.tasks = 1 + random() % 6;
    spec.repeatable = random() % 2 == 0;
    return spec;
}

protocol::IndexSet randomSet(std::mt19937 &random, std::uint32_t tasks)
{
    protocol::IndexSet set;
    for (std::uint32_t index = 0; index < tasks; ++index) {
        if (random() % 3 == 0) {
            set.insert(index);
        }
    }
    return set;
}

/// Generates random log entries as leaders with different views may propose them, including resent submissions and
/// outdated entries.
class EntryGenerator
{
public:
    explicit EntryGenerator(std::uint32_t seed) : random_(seed)
    {
    }

    LogEntry next(const ClusterState &state)
    {
        switch (random_() % 6) {
        case 0:
        case 1:
            return submission(state);
        case 2:
            return CancelEntry{anyJob(state), WallTime(1)};
        case 3:
            return ZoneEntry{{anyZone(), 0, 0, "n" + std::to_string(random_() % 2), "", ""}, anyEpoch(state)};
        case 4:
            return progress(state);
        default:
            return move(state);
        }
    }

    std::mt19937 &random()
    {
        return random_;
    }

private:
    std::string anyZone()
    {
        return Zones[random_() % Zones.size()];
    }
    placement::JobId anyJob(const ClusterState &state)
    {
        return state.jobs().empty() ? 1 : 1 + random_() % (state.jobs().rbegin()->first + 1);
    }
    std::uint64_t anyEpoch(const ClusterState &state)
    {
        const protocol::ZoneOwner *const owner = state.owner(anyZone());
        return owner == nullptr || random_() % 4 == 0 ? 0 : owner->epoch;
    }

    SubmissionEntry submission(const ClusterState &state)
    {
        if (!sent_.empty() && random_() % 3 == 0) {
            return sent_[random_() % sent_.size()];
        }
        SubmissionEntry entry;
        entry.submit.submission = "s" + std::to_string(sent_.size());
        entry.acceptedAt = WallTime(1);
        const placement::JobSpec spec = randomJob(random_, "j" + std::to_string(random_() % 4));
        const Shares shares = random_() % 4 == 0 ? Shares{} : Shares{{anyZone(), 0, spec.tasks, 0}};
        if (random_() % 2 == 0) {
            entry.submit.expectedVersion = state.configurationVersion() - random_() % 2;
            entry.submit.services.push_back(spec);
            entry.serviceShares.push_back(shares);
        } else {
            entry.submit.jobs.push_back(spec);
            entry.jobShares.push_back(shares);
        }
        sent_.push_back(entry);
        return entry;
    }

    ProgressEntry progress(const ClusterState &state)
    {
        ProgressEntry entry;
        entry.zone = anyZone();
        const protocol::ZoneOwner *const owner = state.owner(entry.zone);
        entry.epoch = owner == nullptr ? 0 : owner->epoch - random_() % 2;
        entry.at = WallTime(2);
        const placement::JobId job = anyJob(state);
        entry.progress.push_back({job,
                                  randomSet(random_, 6),
                                  randomSet(random_, 6),
                                  randomSet(random_, 6),
                                  randomSet(random_, 6),
                                  randomSet(random_, 6)});
        return entry;
    }

    /// Half of the time repeats the last move: a leader may propose it again before the first one is applied.
    MoveEntry move(const ClusterState &state)
    {
        if (random_() % 2 == 0) {
            return lastMove_;
        }
        MoveEntry &entry = lastMove_ = {};
        entry.at = WallTime(3);
        const JobRecord *const record = state.findJob(anyJob(state));
        if (record == nullptr) {
            return entry;
        }
        const std::string from = record->shares.empty() ? std::string() : record->shares.front().zone;
        protocol::IndexSet startable = from.empty() ? protocol::IndexSet() : record->indicesAssignedTo(from);
        if (from.empty()) {
            startable.insert(protocol::IndexRange{0, record->spec.tasks});
        }
        startable.erase(record->finishedTasks());
        if (!record->spec.repeatable) {
            startable.erase(record->started);
        }
        MoveEntry::Move move{record->spec.id, from, {}};
        const std::string to = anyZone();
        for (const protocol::IndexRange &range : startable.ranges()) {
            move.to.push_back({to, range.first, range.end - range.first, 0});
        }
        entry.lostZone = from;
        const protocol::ZoneOwner *const owner = state.owner(from);
        entry.lostEpoch = owner == nullptr ? 0 : owner->epoch;
        entry.moves.push_back(std::move(move));
        return entry;
    }

    std::mt19937 random_;
    std::vector<SubmissionEntry> sent_;
    MoveEntry lastMove_;
};

/// No index is assigned to two zones or twice to one zone, each task has at most one outcome, and a job is done only
/// when every task has one.
void checkJob(const JobRecord &record)
{
    std::uint32_t assigned = 0;
    protocol::IndexSet all;
    for (const std::string &zone : Zones) {
        assigned += record.indicesAssignedTo(zone).size();
        all.insert(record.indicesAssignedTo(zone));
    }
    std::uint32_t counted = 0;
    for (const Share &share : record.shares) {
        counted += share.count;
    }
    RC_ASSERT(assigned == all.size());
    RC_ASSERT(counted == all.size());
    RC_ASSERT(record.finishedTasks().size()
              == record.succeeded.size() + record.failed.size() + record.notRun.size() + record.mayHaveRun.size());
    RC_ASSERT(!record.isDone() || record.finishedTasks().size() == record.spec.tasks);
}

/// Certain outcomes never change, and no task loses its outcome.
void checkOutcomesAreFinal(const JobRecord &before, const JobRecord &after)
{
    const auto contains = [](const protocol::IndexSet &large, protocol::IndexSet small) {
        small.erase(large);
        return small.empty();
    };
    RC_ASSERT(contains(after.succeeded, before.succeeded));
    RC_ASSERT(contains(after.failed, before.failed));
    RC_ASSERT(contains(after.notRun, before.notRun));
    RC_ASSERT(contains(after.finishedTasks(), before.finishedTasks()));
}

} // namespace

// Guards against lost or changed outcomes, doubly assigned tasks, a resent submission that gets another reply, and
// configuration versions or epochs that go back, under any order of entries. Each entry also passes through the codec,
// and the state now and then through a snapshot.
RC_GTEST_PROP(ClusterState, outcomesAreFinalAndSharesAreDisjoint, (std::uint32_t seed))
{
    EntryGenerator generator(seed);
    ClusterState state;
    std::map<std::string, protocol::SubmitReply> firstReplies;
    for (std::uint64_t index = 1; index < 120; ++index) {
        const LogEntry entry = generator.next(state);
        const ClusterState before = state;
        const ApplyResult result = state.apply(index, *decodeEntry(encodeEntry(entry)));
        if (const auto *reply = std::get_if<protocol::SubmitReply>(&result.reply)) {
            protocol::SubmitReply plain = *reply;
            plain.resent = false;
            const auto [first, isNew] = firstReplies.emplace(std::get<SubmissionEntry>(entry).submit.submission, plain);
            RC_ASSERT(isNew || first->second == plain);
            RC_ASSERT(isNew != reply->resent);
        }
        RC_ASSERT(state.configurationVersion() >= before.configurationVersion());
        for (const auto &[id, record] : state.jobs()) {
            checkJob(record);
            if (const JobRecord *const earlier = before.findJob(id)) {
                checkOutcomesAreFinal(*earlier, record);
            }
        }
        for (const std::string &zone : Zones) {
            if (const protocol::ZoneOwner *const earlier = before.owner(zone)) {
                RC_ASSERT(state.owner(zone)->epoch >= earlier->epoch);
            }
        }
        if (generator.random()() % 10 == 0) {
            const auto restored = ClusterState::restore(state.snapshot());
            RC_ASSERT(restored.has_value());
            RC_ASSERT(restored->snapshot() == state.snapshot());
            state = *restored;
        }
    }
}

TEST(ClusterState, firstOfTwoSubmissionsWithTheSameExpectedVersionWins)
{
    ClusterState state;
    const auto entry = [](const std::string &submission, std::uint64_t expected) {
        SubmissionEntry result;
        result.submit.submission = submission;
        result.submit.expectedVersion = expected;
        result.submit.teams.push_back({"t", {static_cast<std::int64_t>(submission.size()), 0, 0}});
        return result;
    };
    const auto submit = [&](std::uint64_t index, const std::string &submission, std::uint64_t expected) {
        return std::get<protocol::SubmitReply>(state.apply(index, entry(submission, expected)).reply);
    };
    EXPECT_EQ(submit(1, "first", 0).outcome, protocol::SubmitOutcome::Accepted);
    const protocol::SubmitReply lost = submit(2, "second", 0);
    EXPECT_EQ(lost.outcome, protocol::SubmitOutcome::VersionConflict);
    EXPECT_EQ(lost.winnerSubmission, "first");
    EXPECT_EQ(submit(3, "second", 1).outcome, protocol::SubmitOutcome::SubmissionConflict);
    EXPECT_EQ(submit(4, "third", 1).version, 2U);
    const protocol::SubmitReply resent = submit(5, "first", 0);
    EXPECT_EQ(resent.outcome, protocol::SubmitOutcome::Accepted);
    EXPECT_EQ(resent.version, 1U);
    EXPECT_TRUE(resent.resent);
}
