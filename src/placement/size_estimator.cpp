#include "placement/size_estimator.h"

#include <algorithm>
#include <bit>
#include <cctype>
#include <cmath>
#include <limits>
#include <string_view>

namespace yuccawheel::placement
{

namespace
{

constexpr float CpuMarginFactor = 1.03F; ///< Applied to the highest usage seen.
constexpr float MemoryMarginFactor = 1.05F;
constexpr float SaturatedGrowthFactor = 1.25F; ///< Applied when a task used its whole reservation and may need more.
constexpr float MaxCpuFactor = 10; ///< Maximum ratio of used to declared CPU.
constexpr double SaturatedShare = 0.99;
constexpr std::int64_t MinMilliCpu = 50;
constexpr std::int64_t MinMemoryMib = 64;

std::uint64_t hashText(std::uint64_t hash, std::string_view text)
{
    for (const char character : text) {
        hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001b3ULL;
    }
    return hash;
}

float usageRatio(std::int64_t used, std::int64_t reserved, std::int64_t declared)
{
    if (declared <= 0) {
        return 1;
    }
    const float value = static_cast<float>(used) / static_cast<float>(declared);
    const bool saturated = static_cast<double>(used) >= SaturatedShare * static_cast<double>(reserved);
    return saturated ? value * SaturatedGrowthFactor : value;
}

// Keeps the 6 highest bits, so that the result is at most 1/32 above the amount.
std::int64_t roundUpAmount(std::int64_t amount, std::int64_t minimum)
{
    if (amount <= minimum) {
        return minimum;
    }
    const int shift = std::max(0, static_cast<int>(std::bit_width(static_cast<std::uint64_t>(amount))) - 6);
    const std::int64_t step = std::int64_t{1} << shift;
    return (amount + step - 1) / step * step;
}

std::int64_t scaled(std::int64_t declared, float factor, std::int64_t minimum)
{
    if (declared <= 0) {
        return 0;
    }
    return roundUpAmount(std::llround(static_cast<double>(declared) * factor), minimum);
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

float SizeEstimator::Ratios::highest() const
{
    return *std::max_element(ring.begin(), ring.begin() + std::min<std::size_t>(count, Samples));
}

float SizeEstimator::Ratios::median() const
{
    std::array<float, Samples> sorted = ring;
    const auto size = static_cast<std::ptrdiff_t>(std::min<std::size_t>(count, Samples));
    std::nth_element(sorted.begin(), sorted.begin() + (size / 2), sorted.begin() + size);
    return sorted[static_cast<std::size_t>(size / 2)];
}

// Sizes use the maximum of the last samples, because a task with too little memory is stopped. Run times use the
// median.
Estimate SizeEstimator::estimate(HistoryKey key, const JobSpec &spec) const
{
    Estimate result{spec.perTask, spec.declaredRunTime, false};
    const auto found = histories_.find(key);
    if (found == histories_.end()) {
        return result;
    }
    const History &history = found->second;
    if (history.runTime.hasEnough()) {
        const double runTime = static_cast<double>(spec.declaredRunTime.count()) * history.runTime.median();
        result.runTime = std::chrono::milliseconds(std::llround(runTime));
    }
    if (history.milliCpu.hasEnough()) {
        result.learned = true;
        result.size.milliCpu = scaled(spec.perTask.milliCpu, history.milliCpu.highest() * CpuMarginFactor, MinMilliCpu);
        result.size.memoryMib =
            scaled(spec.perTask.memoryMib, history.memoryMib.highest() * MemoryMarginFactor, MinMemoryMib);
    }
    return result;
}

SizeEstimator::History &SizeEstimator::historyOf(HistoryKey key)
{
    const auto [found, isNew] = histories_.try_emplace(key);
    if (isNew) {
        order_.push_back(key);
        if (order_.size() > MaxHistories) {
            histories_.erase(order_.front());
            order_.pop_front();
        }
    }
    return found->second;
}

void SizeEstimator::learnSize(HistoryKey key, const JobSpec &spec, const Resources &peak, const Resources &reserved)
{
    History &history = historyOf(key);
    const float milliCpu = usageRatio(peak.milliCpu, reserved.milliCpu, spec.perTask.milliCpu);
    history.milliCpu.add(std::min(milliCpu, MaxCpuFactor));
    history.memoryMib.add(usageRatio(peak.memoryMib, reserved.memoryMib, spec.perTask.memoryMib));
}

void SizeEstimator::learnRunTime(HistoryKey key, const JobSpec &spec, std::chrono::milliseconds runTime)
{
    const std::int64_t unlimited = std::numeric_limits<std::int64_t>::max();
    historyOf(key).runTime.add(usageRatio(runTime.count(), unlimited, spec.declaredRunTime.count()));
}

std::uint32_t SizeEstimator::version(HistoryKey key) const
{
    const auto found = histories_.find(key);
    return found == histories_.end() ? 0 : found->second.milliCpu.count + found->second.runTime.count;
}

} // namespace yuccawheel::placement
