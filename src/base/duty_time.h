#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace yuccawheel::base
{

/// What a thread spends its time on.
enum class Duty : std::uint8_t {
    Decisions, ///< Scheduling passes.
    State, ///< Committed entries and what follows from them.
    Calls, ///< HTTP calls to other processes, with their answers.
    Reports, ///< HTTP requests of workers and operators.
    Requests, ///< Messages of gateways and their replies.
    Replication, ///< Messages between replicas.
    Disk, ///< The thread of the replicated log.
    LogLines, ///< Formatting log lines.
    LogOutput, ///< The thread that writes log lines.
    Waiting, ///< Waiting for events.
};
constexpr std::size_t DutyCount = 10;
std::string_view toString(Duty duty);

/// Charges the time of the current thread to a duty until the scope ends; inner scopes charge theirs instead. Time
/// outside all scopes, such as an event loop that reads from a socket, is charged to the next scope. Time in which the
/// thread is ready to run but gets no processor counts too: it delays whatever waits for the thread.
class DutyScope
{
public:
    explicit DutyScope(Duty duty);
    ~DutyScope();
    DutyScope(const DutyScope &) = delete;
    DutyScope &operator=(const DutyScope &) = delete;

private:
    Duty duty_;
    const DutyScope *outer_;
};

/// Returns the time charged to each duty since the start of the process, of all threads.
std::array<std::chrono::microseconds, DutyCount> timeByDuty();
/// Returns the processor time of the whole process since its start.
std::chrono::microseconds processorTime();

} // namespace yuccawheel::base
