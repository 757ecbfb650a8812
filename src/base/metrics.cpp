#include "base/metrics.h"

#include <boost/histogram.hpp>
#include <fmt/core.h>

#include <map>
#include <mutex>

namespace yuccawheel::base
{

namespace
{

namespace bh = boost::histogram;

constexpr int HistogramBuckets = 48;
constexpr double MinSeconds = 1e-5;
constexpr double MaxSeconds = 1e3;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

} // namespace

struct DurationHistogram::Impl {
    mutable std::mutex mutex;
    decltype(bh::make_histogram(LogAxis())) histogram =
        bh::make_histogram(LogAxis(HistogramBuckets, MinSeconds, MaxSeconds));
    double sum = 0;
    std::uint64_t count = 0;
};

DurationHistogram::DurationHistogram() : impl_(std::make_unique<Impl>())
{
}

DurationHistogram::~DurationHistogram() = default;

void DurationHistogram::record(std::chrono::nanoseconds duration)
{
    const double seconds = std::chrono::duration<double>(duration).count();
    const std::lock_guard lock(impl_->mutex);
    impl_->histogram(seconds);
    impl_->sum += seconds;
    ++impl_->count;
}

std::chrono::nanoseconds DurationHistogram::quantile(double fraction) const
{
    const std::lock_guard lock(impl_->mutex);
    const double target = fraction * static_cast<double>(impl_->count);
    double seen = 0;
    for (int bucket = -1; bucket <= HistogramBuckets; ++bucket) {
        seen += static_cast<double>(impl_->histogram.at(bucket));
        if (impl_->count > 0 && seen >= target) {
            const double upper = bucket >= HistogramBuckets ? MaxSeconds : impl_->histogram.axis().value(bucket + 1);
            return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(upper));
        }
    }
    return {};
}

void DurationHistogram::render(std::string_view name, std::string &text) const
{
    const std::lock_guard lock(impl_->mutex);
    double seen = 0;
    for (int bucket = -1; bucket < HistogramBuckets; ++bucket) {
        seen += static_cast<double>(impl_->histogram.at(bucket));
        text +=
            fmt::format("{}_bucket{{le=\"{:.6g}\"}} {:.0f}\n", name, impl_->histogram.axis().value(bucket + 1), seen);
    }
    text +=
        fmt::format("{0}_bucket{{le=\"+Inf\"}} {1}\n{0}_sum {2:.6f}\n{0}_count {1}\n", name, impl_->count, impl_->sum);
}

struct MetricsRegistry::Impl {
    mutable std::mutex mutex;
    std::map<std::string, Counter> counters;
    std::map<std::string, Gauge> gauges;
    std::map<std::string, DurationHistogram> histograms;
};

MetricsRegistry::MetricsRegistry() : impl_(std::make_unique<Impl>())
{
}

MetricsRegistry::~MetricsRegistry() = default;

Counter &MetricsRegistry::counter(const std::string &name)
{
    const std::lock_guard lock(impl_->mutex);
    return impl_->counters[name];
}

Gauge &MetricsRegistry::gauge(const std::string &name)
{
    const std::lock_guard lock(impl_->mutex);
    return impl_->gauges[name];
}

DurationHistogram &MetricsRegistry::histogram(const std::string &name)
{
    const std::lock_guard lock(impl_->mutex);
    return impl_->histograms[name];
}

std::string MetricsRegistry::render() const
{
    const std::lock_guard lock(impl_->mutex);
    std::string text;
    for (const auto &[name, counter] : impl_->counters) {
        text += fmt::format("{} {}\n", name, counter.value());
    }
    for (const auto &[name, gauge] : impl_->gauges) {
        text += fmt::format("{} {}\n", name, gauge.value());
    }
    for (const auto &[name, histogram] : impl_->histograms) {
        histogram.render(name, text);
    }
    return text;
}

} // namespace yuccawheel::base
