#include "base/processor_time.h"

#include <atomic>
#include <ctime>

namespace yuccawheel::base
{

namespace
{

std::array<std::atomic<std::int64_t>, DutyCount> chargedNanoseconds;
thread_local const DutyScope *current = nullptr;
thread_local std::int64_t lastReading = 0; ///< Processor time of this thread that has been charged, in nanoseconds.

std::int64_t readClock(clockid_t clock)
{
    constexpr std::int64_t NanosecondsPerSecond = 1'000'000'000;
    timespec time{};
    ::clock_gettime(clock, &time);
    return time.tv_sec * NanosecondsPerSecond + time.tv_nsec;
}

void chargeTo(Duty duty)
{
    const std::int64_t reading = readClock(CLOCK_THREAD_CPUTIME_ID);
    chargedNanoseconds[static_cast<std::size_t>(duty)].fetch_add(reading - lastReading, std::memory_order_relaxed);
    lastReading = reading;
}

std::chrono::microseconds toMicroseconds(std::int64_t nanoseconds)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::nanoseconds(nanoseconds));
}

} // namespace

std::string_view toString(Duty duty)
{
    constexpr std::array<std::string_view, DutyCount> Names = {"decisions",
                                                               "state",
                                                               "calls",
                                                               "reports",
                                                               "requests",
                                                               "replication",
                                                               "disk",
                                                               "log_lines",
                                                               "log_output",
                                                               "waiting"};
    return Names[static_cast<std::size_t>(duty)];
}

DutyScope::DutyScope(Duty duty) : duty_(duty), outer_(current)
{
    // An event loop reads the data of an event right before it calls the handler, so this time belongs to the handler.
    chargeTo(outer_ == nullptr ? duty_ : outer_->duty_);
    current = this;
}

DutyScope::~DutyScope()
{
    chargeTo(duty_);
    current = outer_;
}

std::array<std::chrono::microseconds, DutyCount> processorTimeByDuty()
{
    std::array<std::chrono::microseconds, DutyCount> times{};
    for (std::size_t duty = 0; duty < DutyCount; ++duty) {
        times[duty] = toMicroseconds(chargedNanoseconds[duty].load(std::memory_order_relaxed));
    }
    return times;
}

std::chrono::microseconds processorTime()
{
    return toMicroseconds(readClock(CLOCK_PROCESS_CPUTIME_ID));
}

} // namespace yuccawheel::base
