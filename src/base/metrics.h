#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace yuccawheel::base
{

/// Count that only grows.
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

/// Value that goes up and down.
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

/// Distribution of durations from 10 microseconds to 1,000 seconds, in buckets of equal ratio.
class DurationHistogram
{
public:
    DurationHistogram();
    ~DurationHistogram();
    DurationHistogram(const DurationHistogram &) = delete;
    DurationHistogram &operator=(const DurationHistogram &) = delete;

    void record(std::chrono::nanoseconds duration);
    /// Upper bound of the bucket that holds the given share of the recorded durations; zero if there are none.
    std::chrono::nanoseconds quantile(double share) const;
    /// Appends the histogram in the Prometheus exposition format.
    void render(std::string_view name, std::string &text) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Names of a process's metrics. A metric is made at its first use and lives as long as the registry.
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
