#include "workflow/gang_starts.h"

#include <algorithm>
#include <utility>

namespace yuccawheel::workflow
{

namespace
{

/// Members that were seen within this time count as there together. Orders of a large gang take a while.
constexpr std::chrono::milliseconds MaxConfirmationAge{200};

} // namespace

void GangStarts::addMember(const TaskRef &gang, std::uint32_t run, const TaskRef &member, base::TimePoint now)
{
    Start &start = starts_[gang];
    if (start.run != run) {
        start = {};
        start.run = run;
        start.committedAt = start.lastOrderedAt = start.lastSentAt = start.lastConfirmedAt = now;
    }
    start.unordered.insert(member);
    start.unconfirmed.insert(member);
    ++start.members;
}

void GangStarts::recordOrder(const TaskRef &gang, std::uint32_t run, const TaskRef &member, base::TimePoint now)
{
    if (Start *const start = find(gang, run)) {
        ++start->orders;
        if (start->unordered.erase(member) > 0) {
            start->lastOrderedAt = now;
        }
    }
}

GangStarts::Confirmation GangStarts::recordConfirmation(const TaskRef &gang,
                                                        std::uint32_t run,
                                                        const TaskRef &member,
                                                        std::optional<base::TimePoint> sentAt,
                                                        base::TimePoint seenAt,
                                                        base::TimePoint now)
{
    Start *const start = find(gang, run);
    if (start == nullptr || start->unconfirmed.erase(member) == 0) {
        return {};
    }
    start->lastSentAt = std::max(start->lastSentAt, sentAt.value_or(start->lastSentAt));
    start->lastConfirmedAt = now;
    if (!start->seenAt.contains(member)) {
        start->lastStartSeenAt = std::max(start->lastStartSeenAt, seenAt);
    }
    start->seenAt[member] = seenAt;
    Confirmation result;
    if (!start->unconfirmed.empty()) {
        return result;
    }
    for (const auto &[other, time] : start->seenAt) {
        if (start->lastStartSeenAt - time > MaxConfirmationAge) {
            result.outdated.push_back(other);
            start->unconfirmed.insert(other);
        }
    }
    if (result.outdated.empty()) {
        if (!std::exchange(start->wasWhole, true)) {
            result.summary = summarize(*start);
        }
        if (start->isChecked) {
            starts_.erase(gang); // All members were there long after the last one had started.
        }
    }
    return result;
}

// The first two that answer nearly always tell of progress, and the run is removed.
std::vector<TaskRef> GangStarts::takeUnproven(base::TimePoint before, base::TimePoint now)
{
    std::vector<TaskRef> members;
    for (auto &[gang, start] : starts_) {
        if (start.committedAt > before || !start.wasWhole || !start.unconfirmed.empty()
            || std::exchange(start.isChecked, true)) {
            continue;
        }
        start.lastStartSeenAt = start.askedAt = now;
        for (const TaskRef &member : {start.seenAt.begin()->first, start.seenAt.rbegin()->first}) {
            if (start.unconfirmed.insert(member).second) {
                members.push_back(member);
            }
        }
    }
    return members;
}

bool GangStarts::recordDoubt(const TaskRef &gang, std::uint32_t run, const TaskRef &member, base::TimePoint now)
{
    Start *const start = find(gang, run);
    if (start == nullptr || !start->seenAt.contains(member) || !start->unconfirmed.insert(member).second) {
        return false;
    }
    start->askedAt = now;
    return true;
}

void GangStarts::recordQuestion(const TaskRef &gang, std::uint32_t run, base::TimePoint now)
{
    if (Start *const start = find(gang, run)) {
        start->askedAt = now;
    }
}

std::optional<GangStarts::Summary> GangStarts::recordStop(const TaskRef &gang, std::uint32_t run)
{
    Start *const start = find(gang, run);
    if (start == nullptr || std::exchange(start->isStopping, true) || start->wasWhole) {
        return std::nullopt;
    }
    return summarize(*start);
}

bool GangStarts::isStopping(const TaskRef &gang, std::uint32_t run) const
{
    const Start *const start = find(gang, run);
    return start != nullptr && start->isStopping;
}

std::optional<GangStarts::Summary> GangStarts::remove(const TaskRef &gang, std::uint32_t run)
{
    const Start *const start = find(gang, run);
    if (start == nullptr) {
        return std::nullopt;
    }
    const auto summary = start->wasWhole || start->isStopping ? std::nullopt : std::optional(summarize(*start));
    starts_.erase(gang);
    return summary;
}

std::vector<TaskRef> GangStarts::incompleteSince(base::TimePoint before, base::TimePoint askedBefore) const
{
    std::vector<TaskRef> gangs;
    for (const auto &[gang, start] : starts_) {
        if (start.committedAt <= before && start.askedAt <= askedBefore && !start.unconfirmed.empty()
            && !start.isStopping) {
            gangs.push_back(gang);
        }
    }
    return gangs;
}

std::optional<base::TimePoint> GangStarts::committedAt(const TaskRef &gang, std::uint32_t run) const
{
    const Start *const start = find(gang, run);
    return start == nullptr ? std::nullopt : std::optional(start->committedAt);
}

GangStarts::Start *GangStarts::find(const TaskRef &gang, std::uint32_t run)
{
    const auto found = starts_.find(gang);
    return found == starts_.end() || found->second.run != run ? nullptr : &found->second;
}

const GangStarts::Start *GangStarts::find(const TaskRef &gang, std::uint32_t run) const
{
    const auto found = starts_.find(gang);
    return found == starts_.end() || found->second.run != run ? nullptr : &found->second;
}

GangStarts::Summary GangStarts::summarize(const Start &start)
{
    const auto sinceCommit = [&start](base::TimePoint time) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time - start.committedAt);
    };
    return {start.members,
            start.members - start.unconfirmed.size(),
            start.orders,
            sinceCommit(start.lastOrderedAt),
            sinceCommit(start.lastSentAt),
            sinceCommit(start.lastConfirmedAt)};
}

} // namespace yuccawheel::workflow
