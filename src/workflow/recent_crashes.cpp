#include "workflow/recent_crashes.h"

#include <algorithm>
#include <array>
#include <chrono>

namespace yuccawheel::workflow
{

namespace
{

// Workers that crash together are noticed one after the other, with their reports.
constexpr std::chrono::milliseconds NoticeSpread{2'000};
// Times before and after a crash over which others are counted: at once, in one wave, one after the other, now and
// then.
struct Span {
    std::chrono::milliseconds before;
    std::chrono::milliseconds after;
};
constexpr std::array<Span, 4> Spans{{{std::chrono::milliseconds(500), std::chrono::milliseconds(500)},
                                     {NoticeSpread, NoticeSpread},
                                     {std::chrono::seconds(10), NoticeSpread},
                                     {std::chrono::minutes(1), NoticeSpread}}};
// Crashes that are too rare to show.
constexpr double MinCrashes = 0.5;

// The clock of the next leader may differ, and clocks may step.
std::chrono::milliseconds distance(WallTime left, WallTime right)
{
    return left > right ? left - right : right - left;
}

bool isWithin(const RecentCrashes::Crash &other, const RecentCrashes::Crash &crash, const Span &span)
{
    return distance(other.at, crash.at) <= (other.at > crash.at ? span.after : span.before);
}

bool hasUnit(const RecentCrashes::Crash &crash, const TaskRef &unit)
{
    return std::any_of(crash.units.begin(), crash.units.end(), [&unit](const RunRef &run) { return run.task == unit; });
}

} // namespace

bool RecentCrashes::isDue(const Crash &crash, WallTime now)
{
    return !crash.isSettled && distance(now, crash.at) >= NoticeSpread;
}

bool RecentCrashes::isDue(WallTime now) const
{
    return std::any_of(crashes_.begin(), crashes_.end(), [now](const Crash &crash) { return isDue(crash, now); });
}

void RecentCrashes::forgetOld(WallTime now)
{
    std::erase_if(crashes_, [now](const Crash &crash) { return distance(now, crash.at) > Spans.back().before; });
}

RecentCrashes::Suspects RecentCrashes::suspectsOf(const Crash &crash, std::size_t workers) const
{
    Suspects suspects;
    for (std::size_t index = 0; index < crash.units.size(); ++index) {
        // Snapshots of earlier versions have the units only.
        Suspect &suspect = suspects.emplace_back();
        suspect.unit = crash.units[index];
        if (index < crash.workers.size()) {
            suspect.workers = std::max(crash.workers[index], 1U);
            suspect.isCounted = crash.workers[index] > 0;
        }
        suspect.crashRate =
            index < crash.crashRates.size() ? crash.crashRates[index] : CrashCount().crashRateAfter(TimeAtWork());
    }
    const auto workerCount = static_cast<double>(std::max<std::size_t>(workers, 1));
    for (const Span &span : Spans) {
        std::vector<const Crash *> near;
        for (const Crash &other : crashes_) {
            if (isWithin(other, crash, span)) {
                near.push_back(&other);
            }
        }
        const std::chrono::duration<double> length = span.before + span.after;
        for (Suspect &suspect : suspects) {
            // Its own unit would explain other crashes as well.
            double others = &span == &Spans.back() ? MinCrashes : 0;
            for (const Crash *const other : near) {
                others += hasUnit(*other, suspect.unit.task) ? 0 : other->unexplained;
            }
            suspect.otherCrashes = std::max(suspect.otherCrashes, others / (workerCount * length.count()));
        }
    }
    return suspects;
}

} // namespace yuccawheel::workflow
