#include "base/duty_time.h"

#include <atomic>
#include <ctime>

namespace yuccawheel::base
{

namespace
{

std::array<std::atomic<std::int64_t>, DutyCount> chargedNanoseconds;
thread_local const DutyScope *current = nullptr;
thread_local std::chrono::steady_clock::time_point chargedUntil = std::chrono::steady_clock::now();

// Reading a clock of processor time would be a system call, several for each message.
void chargeTo(Duty duty)
{
    const auto now = std::chrono::steady_clock::now();
    const std::int64_t nanoseconds = std::chrono::nanoseconds(now - chargedUntil).count();
    chargedNanoseconds[static_cast<std::size_t>(duty)].fetch_add(nanoseconds, std::memory_order_relaxed);
    chargedUntil = now;
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

std::array<std::chrono::microseconds, DutyCount> timeByDuty()
{
    std::array<std::chrono::microseconds, DutyCount> times{};
    for (std::size_t duty = 0; duty < DutyCount; ++duty) {
        const std::chrono::nanoseconds charged(chargedNanoseconds[duty].load(std::memory_order_relaxed));
        times[duty] = std::chrono::duration_cast<std::chrono::microseconds>(charged);
    }
    return times;
}

std::chrono::microseconds processorTime()
{
    timespec time{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::seconds(time.tv_sec)
                                                                 + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace yuccawheel::base
