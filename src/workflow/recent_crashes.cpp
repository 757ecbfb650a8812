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
// Of a worker, for causes that are too rare to have shown of late: one an hour.
constexpr double MinCrashRate = 1.0 / (60 * 60);

// The clock of the next leader may differ, and clocks may step.
std::chrono::milliseconds distance(WallTime left, WallTime right)
{
    return left > right ? left - right : right - left;
}

bool isWithin(WallTime other, WallTime at, const Span &span)
{
    return distance(other, at) <= (other > at ? span.after : span.before);
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

RecentCrashes::Near RecentCrashes::near(const Crash &crash) const
{
    Near result;
    result.at_ = crash.at;
    for (const Span &span : Spans) {
        double sum = 0;
        for (const Crash &other : crashes_) {
            sum += &other != &crash && isWithin(other.at, crash.at, span) ? other.unexplained : 0;
        }
        result.sums_.push_back(sum);
    }
    return result;
}

double RecentCrashes::Near::rateWithout(const std::vector<CrashCount::OwnCrash> &own, std::size_t workers) const
{
    double rate = MinCrashRate;
    for (std::size_t index = 0; index < sums_.size(); ++index) {
        double others = sums_[index];
        for (const CrashCount::OwnCrash &crash : own) {
            others -= crash.at != at_ && isWithin(crash.at, at_, Spans.at(index)) ? crash.unexplained : 0;
        }
        const std::chrono::duration<double> length = Spans.at(index).before + Spans.at(index).after;
        rate = std::max(rate, others / (static_cast<double>(std::max<std::size_t>(workers, 1)) * length.count()));
    }
    return rate;
}

} // namespace yuccawheel::workflow
