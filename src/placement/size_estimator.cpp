#include "placement/size_estimator.h"

#include <algorithm>
#include <bit>
#include <cctype>
#include <cmath>
#include <string_view>

namespace yuccawheel::placement
{

namespace
{

constexpr float SizeMargin = 1.15F; ///< Kept above the highest use seen.
constexpr float SaturatedGrowth = 1.5F; ///< Applied when a task used all that it was allowed.
constexpr double SaturatedShare = 0.95;
constexpr std::int64_t MinMilliCpu = 50;
constexpr std::int64_t MinMemoryMib = 64;

std::uint64_t hashText(std::uint64_t hash, std::string_view text)
{
    for (const char character : text) {
        hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001b3ULL;
    }
    return hash;
}

float ratio(std::int64_t used, std::int64_t reserved, std::int64_t declared)
{
    if (declared <= 0) {
        return 1;
    }
    const float value = static_cast<float>(used) / static_cast<float>(declared);
    const bool saturated = static_cast<double>(used) >= SaturatedShare * static_cast<double>(reserved);
    return saturated ? value * SaturatedGrowth : value;
}

// Keeps the three highest bits, so that the result is at most an eighth above the amount.
std::int64_t roundUpAmount(std::int64_t amount, std::int64_t least)
{
    if (amount <= least) {
        return least;
    }
    const int shift = std::max(0, static_cast<int>(std::bit_width(static_cast<std::uint64_t>(amount))) - 4);
    const std::int64_t step = std::int64_t{1} << shift;
    return (amount + step - 1) / step * step;
}

std::int64_t scaled(std::int64_t declared, float factor, std::int64_t least)
{
    if (declared <= 0) {
        return 0;
    }
    return roundUpAmount(std::llround(static_cast<double>(declared) * factor), least);
}

} // namespace

HistoryKey SizeEstimator::keyOf(const JobSpec &spec)
{
    std::string_view name = spec.name;
    while (!name.empty() && (std::isdigit(static_cast<unsigned char>(name.back())) != 0 || name.back() == '-')) {
        name.remove_suffix(1);
    }
    const std::uint64_t team = hashText(0xcbf29ce484222325ULL, spec.team);
    return hashText((team ^ 0xffU) * 0x100000001b3ULL, name);
}

Resources SizeEstimator::roundUp(const Resources &amount)
{
    return {roundUpAmount(amount.milliCpu, MinMilliCpu),
            roundUpAmount(amount.memoryMib, MinMemoryMib),
            amount.accelerators};
}

// Sizes take the highest of the last samples, because too little room stops a task; run times take the median.
Estimate SizeEstimator::estimate(HistoryKey key, const JobSpec &spec) const
{
    const auto found = histories_.find(key);
    if (found == histories_.end() || found->second.count < MinSamples) {
        return {spec.perTask, spec.declaredRunTime, false};
    }
    const History &history = found->second;
    const std::size_t count = std::min<std::size_t>(history.count, Samples);
    float milliCpu = 0;
    float memoryMib = 0;
    std::array<float, Samples> times{};
    for (std::size_t index = 0; index < count; ++index) {
        milliCpu = std::max(milliCpu, history.ring[index].milliCpu);
        memoryMib = std::max(memoryMib, history.ring[index].memoryMib);
        times[index] = history.ring[index].runTime;
    }
    std::nth_element(times.begin(), times.begin() + (count / 2), times.begin() + count);
    const double runTime = static_cast<double>(spec.declaredRunTime.count()) * times[count / 2];
    return {{scaled(spec.perTask.milliCpu, milliCpu * SizeMargin, MinMilliCpu),
             scaled(spec.perTask.memoryMib, memoryMib * SizeMargin, MinMemoryMib),
             spec.perTask.accelerators},
            std::chrono::milliseconds(std::llround(runTime)),
            true};
}

void SizeEstimator::learn(HistoryKey key,
                          const JobSpec &spec,
                          const Resources &peak,
                          const Resources &reserved,
                          std::chrono::milliseconds runTime)
{
    const auto [found, isNew] = histories_.try_emplace(key);
    if (isNew) {
        order_.push_back(key);
        if (order_.size() > MaxHistories) {
            histories_.erase(order_.front());
            order_.pop_front();
        }
    }
    History &history = found->second;
    Sample &sample = history.ring[history.count % Samples];
    sample.milliCpu = ratio(peak.milliCpu, reserved.milliCpu, spec.perTask.milliCpu);
    sample.memoryMib = ratio(peak.memoryMib, reserved.memoryMib, spec.perTask.memoryMib);
    sample.runTime = ratio(runTime.count(), std::numeric_limits<std::int64_t>::max(), spec.declaredRunTime.count());
    ++history.count;
}

std::uint32_t SizeEstimator::version(HistoryKey key) const
{
    const auto found = histories_.find(key);
    return found == histories_.end() ? 0 : found->second.count;
}

} // namespace yuccawheel::placement
