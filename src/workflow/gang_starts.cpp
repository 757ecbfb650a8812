#include "workflow/gang_starts.h"

#include <algorithm>

namespace yuccawheel::workflow
{

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

std::optional<GangStarts::Summary> GangStarts::recordConfirmation(const TaskRef &gang,
                                                                  std::uint32_t run,
                                                                  const TaskRef &member,
                                                                  std::optional<base::TimePoint> sentAt,
                                                                  base::TimePoint now)
{
    Start *const start = find(gang, run);
    if (start == nullptr || start->unconfirmed.erase(member) == 0) {
        return std::nullopt;
    }
    start->lastSentAt = std::max(start->lastSentAt, sentAt.value_or(start->lastSentAt));
    start->lastConfirmedAt = now;
    return start->unconfirmed.empty() ? remove(gang, run) : std::nullopt;
}

std::optional<GangStarts::Summary> GangStarts::remove(const TaskRef &gang, std::uint32_t run)
{
    const Start *const start = find(gang, run);
    if (start == nullptr) {
        return std::nullopt;
    }
    const Summary summary = summarize(*start);
    starts_.erase(gang);
    return summary;
}

std::vector<TaskRef> GangStarts::committedBy(base::TimePoint before) const
{
    std::vector<TaskRef> gangs;
    for (const auto &[gang, start] : starts_) {
        if (start.committedAt <= before) {
            gangs.push_back(gang);
        }
    }
    return gangs;
}

GangStarts::Start *GangStarts::find(const TaskRef &gang, std::uint32_t run)
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
