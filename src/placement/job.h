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

/// Id that the replicated log assigned to an accepted job or service; never reused.
using JobId = std::uint64_t;

/// One attempt at one task of a job. Text form: `JOB.INDEX.ATTEMPT`, for example `17.0.2`.
struct TaskId {
    JobId job = 0;
    std::uint32_t index = 0;
    std::uint32_t attempt = 0;

    constexpr auto operator<=>(const TaskId &) const = default; // NOLINT(modernize-use-nullptr): false alarm
};

std::string toString(const TaskId &task);
/// Parses the text form; returns nothing if it is malformed.
std::optional<TaskId> parseTaskId(std::string_view text);

enum class JobKind : std::uint8_t {
    Service, ///< Replicas that run until they are cancelled.
    Batch, ///< Independent tasks; each starts when there is room.
    Gang, ///< Tasks that start all together or not at all.
};

/// An accepted job or service. Each zone is assigned a range of its task indices, the zone's share.
struct JobSpec {
    JobId id = 0;
    std::string name;
    std::string team;
    JobKind kind = JobKind::Batch;
    std::uint32_t tasks = 1;
    Resources perTask;
    std::chrono::milliseconds declaredRunTime{0}; ///< Zero for services.
    std::int32_t priority = 0; ///< From -100 to 100; higher starts first.
    bool urgent = false; ///< May preempt work that is not urgent.
    std::optional<std::chrono::milliseconds> deadline; ///< Relative to acceptance.
    bool repeatable = true; ///< If not, each task starts at most once.
    std::uint32_t maxDisruption = 1; ///< Service replicas that may be moved at the same time.
    std::chrono::milliseconds detachedFor{60'000}; ///< Lease: run time without renewal by the owner.
    std::string payload; ///< Opaque; passed to the worker unchanged.
};

/// A team's guaranteed resources in a zone. Tasks beyond the quota use idle capacity and may be preempted.
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
