#pragma once

#include "placement/resources.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace yuccawheel::placement
{

/// Number that the agreed log gave to an accepted job or service; never reused.
using JobId = std::uint64_t;

/// One attempt at one task of a job. Text form: `JOB.INDEX.ATTEMPT`, for example `17.0.2`.
struct TaskId {
    JobId job = 0;
    std::uint32_t index = 0;
    std::uint32_t attempt = 0;

    constexpr auto operator<=>(const TaskId &) const = default; // NOLINT(modernize-use-nullptr): false alarm
};

std::string toString(const TaskId &task);
/// Parses the text form; nothing if it is malformed.
std::optional<TaskId> parseTaskId(std::string_view text);

enum class JobKind : std::uint8_t {
    Service, ///< Replicas that run until they are cancelled.
    Batch, ///< Tasks that each start when there is room.
    Gang, ///< Tasks that all start together or not at all.
};

/// What an operator asked for, as accepted. The share of one zone is a range of task indices.
struct JobSpec {
    JobId id = 0;
    std::string name;
    std::string team;
    JobKind kind = JobKind::Batch;
    std::uint32_t tasks = 1;
    Resources perTask;
    std::chrono::milliseconds declaredRunTime{0}; ///< Zero for services.
    std::int32_t priority = 0; ///< Higher first, from -100 to 100.
    bool urgent = false; ///< May preempt work that is not urgent.
    std::optional<std::chrono::milliseconds> deadline; ///< Counted from acceptance.
    bool repeatable = true; ///< If not, each task starts at most once.
    std::uint32_t maxDisruption = 1; ///< Service replicas that may be moved at the same time.
    std::chrono::milliseconds detachedFor{60'000}; ///< How long tasks may run without an owner's renewal.
    std::string payload; ///< Handed to the worker as it is.
};

/// A team's guaranteed share of a zone; work beyond it runs on what others leave idle and may be preempted.
struct TeamQuota {
    std::string team;
    Resources guaranteed;
};

} // namespace yuccawheel::placement

template <>
struct std::hash<yuccawheel::placement::TaskId> {
    std::size_t operator()(const yuccawheel::placement::TaskId &task) const noexcept
    {
        const std::uint64_t low = (std::uint64_t{task.index} << 32U) | task.attempt;
        return static_cast<std::size_t>((task.job * 0x9e3779b97f4a7c15ULL) ^ (low * 0xc2b2ae3d27d4eb4fULL));
    }
};
