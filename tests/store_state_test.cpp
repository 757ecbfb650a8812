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

placement::JobSpec jobOf(std::mt19937 &random, const std::string &name)
{
    placement::JobSpec spec;
    spec.name = name;
    spec.tasks = 1 + random() % 6;
    spec.repeatable = random() % 2 == 0;
    return spec;
}

protocol::IndexSet anySet(std::mt19937 &random, std::uint32_t tasks)
{
    protocol::IndexSet set;
    for (std::uint32_t index = 0; index < tasks; ++index) {
        if (random() % 3 == 0) {
            set.insert(index);
        }
    }
    return set;
}

/// Draws entries as leaders of any view would propose them, resends and late ones included.
class EntrySource
{
public:
    explicit EntrySource(std::uint32_t seed) : random_(seed)
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
        const placement::JobSpec spec = jobOf(random_, "j" + std::to_string(random_() % 4));
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
        entry.progress.push_back(
            {job, anySet(random_, 6), anySet(random_, 6), anySet(random_, 6), anySet(random_, 6), anySet(random_, 6)});
        return entry;
    }

    /// A leader may propose a move again before the first one is applied.
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
        protocol::IndexSet open = from.empty() ? protocol::IndexSet() : record->indicesOf(from);
        if (from.empty()) {
            open.insert(protocol::IndexRange{0, record->spec.tasks});
        }
        open.erase(record->finished());
        if (!record->spec.repeatable) {
            open.erase(record->started);
        }
        MoveEntry::Move move{record->spec.id, from, {}};
        const std::string to = anyZone();
        for (const protocol::IndexRange &range : open.ranges()) {
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

void checkJob(const JobRecord &record)
{
    std::uint32_t given = 0;
    protocol::IndexSet all;
    for (const std::string &zone : Zones) {
        given += record.indicesOf(zone).size();
        all.insert(record.indicesOf(zone));
    }
    std::uint32_t counted = 0;
    for (const Share &share : record.shares) {
        counted += share.count;
    }
    RC_ASSERT(given == all.size()); // No index is given to two zones,
    RC_ASSERT(counted == all.size()); // and none twice to one.
    RC_ASSERT(record.finished().size()
              == record.succeeded.size() + record.failed.size() + record.notRun.size() + record.mayHaveRun.size());
    RC_ASSERT(!record.done() || record.finished().size() == record.spec.tasks);
}

/// What was certain before an entry is certain after it.
void checkWordsStay(const JobRecord &before, const JobRecord &after)
{
    const auto contains = [](const protocol::IndexSet &large, protocol::IndexSet small) {
        small.erase(large);
        return small.empty();
    };
    RC_ASSERT(contains(after.succeeded, before.succeeded));
    RC_ASSERT(contains(after.failed, before.failed));
    RC_ASSERT(contains(after.notRun, before.notRun));
    RC_ASSERT(contains(after.finished(), before.finished()));
}

} // namespace

RC_GTEST_PROP(ClusterState, wordsStayAndSharesAreDisjoint, (std::uint32_t seed))
{
    EntrySource source(seed);
    ClusterState state;
    std::map<std::string, protocol::SubmitReply> firstReplies;
    for (std::uint64_t index = 1; index < 120; ++index) {
        const LogEntry entry = source.next(state);
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
                checkWordsStay(*earlier, record);
            }
        }
        for (const std::string &zone : Zones) {
            if (const protocol::ZoneOwner *const earlier = before.owner(zone)) {
                RC_ASSERT(state.owner(zone)->epoch >= earlier->epoch);
            }
        }
        if (source.random()() % 10 == 0) {
            const auto restored = ClusterState::restore(state.snapshot());
            RC_ASSERT(restored.has_value());
            RC_ASSERT(restored->snapshot() == state.snapshot());
            state = *restored;
        }
    }
}

TEST(ClusterState, ofTwoSubmissionsAtOneVersionTheFirstWins)
{
    ClusterState state;
    const auto entry = [](const std::string &submission, std::uint64_t expected) {
        SubmissionEntry made;
        made.submit.submission = submission;
        made.submit.expectedVersion = expected;
        made.submit.teams.push_back({"t", {static_cast<std::int64_t>(submission.size()), 0, 0}});
        return made;
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
    const protocol::SubmitReply again = submit(5, "first", 0);
    EXPECT_EQ(again.outcome, protocol::SubmitOutcome::Accepted);
    EXPECT_EQ(again.version, 1U);
    EXPECT_TRUE(again.resent);
}
