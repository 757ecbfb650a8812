#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace yuccawheel::base
{

/// Counter that only increases.
class Counter
{
public:
    void add(std::uint64_t amount = 1)
    {
        value_.fetch_add(amount, std::memory_order_relaxed);
    }
    std::uint64_t value() const
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> value_{0};
};

/// Value that can increase and decrease.
class Gauge
{
public:
    void set(std::int64_t value)
    {
        value_.store(value, std::memory_order_relaxed);
    }
    std::int64_t value() const
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> value_{0};
};

/// Distribution of durations from 10 microseconds to 1,000 seconds, in logarithmic buckets.
class DurationHistogram
{
public:
    DurationHistogram();
    ~DurationHistogram();
    DurationHistogram(const DurationHistogram &) = delete;
    DurationHistogram &operator=(const DurationHistogram &) = delete;

    void record(std::chrono::nanoseconds duration);
    /// Upper bound of the bucket that holds the given quantile (0 to 1); zero if nothing was recorded.
    std::chrono::nanoseconds quantile(double fraction) const;
    /// Appends the histogram in the Prometheus exposition format.
    void render(std::string_view name, std::string &text) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Metrics of a process by name. A metric is created on first use and lives as long as the registry.
class MetricsRegistry
{
public:
    MetricsRegistry();
    ~MetricsRegistry();
    MetricsRegistry(const MetricsRegistry &) = delete;
    MetricsRegistry &operator=(const MetricsRegistry &) = delete;

    /// Names follow the Prometheus rules and may carry labels: `yw_requests_total{verdict="ran"}`.
    Counter &counter(const std::string &name);
    Gauge &gauge(const std::string &name);
    DurationHistogram &histogram(const std::string &name);

    /// All metrics in the Prometheus exposition format.
    std::string render() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace yuccawheel::base
