#pragma once

#include "placement/resources.h"
#include "protocol/codec.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace yuccawheel::workflow
{

/// Job number chosen by the submitting caller. A resent submission carries the same key.
using JobKey = std::uint64_t;
/// Wall-clock time since the Unix epoch. It may jump, so it must not be used to measure durations.
using WallTime = std::chrono::milliseconds;

/// Text form of a job's key: 16 hexadecimal digits in lower case.
std::string toString(JobKey key);
std::optional<JobKey> parseJobKey(std::string_view text);

/// Identifies a task: its index within a step of one occurrence of a job.
struct TaskRef {
    JobKey job = 0;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    bool operator==(const TaskRef &) const = default;
    bool operator<(const TaskRef &other) const
    {
        return std::tie(job, occurrence, step, index) < std::tie(other.job, other.occurrence, other.step, other.index);
    }
    MSGPACK_DEFINE(job, occurrence, step, index)
};

/// Text form: `JOB.OCCURRENCE.STEP.INDEX`.
std::string toString(const TaskRef &task);
std::optional<TaskRef> parseTaskRef(std::string_view text);

/// A group of identical tasks. They may start once all tasks of the steps in `after` are done.
struct StepSpec {
    std::uint32_t count = 1;
    placement::Resources perTask;
    std::chrono::milliseconds estimatedRunTime{0}; ///< The caller's estimate; off by up to half in both directions.
    std::vector<std::uint32_t> after; ///< Steps that must finish first; lower indices only.
    std::string requiredLabel; ///< Label that the worker must have; empty if none.
    std::string dataRack; ///< Rack where the tasks run fastest; empty if none.
    std::uint32_t maxPerWorker = 0; ///< Maximum tasks of one occurrence on one worker; 0 is unlimited.
    bool checkpointing = false;
    bool gang = false; ///< The tasks start and end all together.
    bool sameRack = false; ///< The gang runs slowly if spread over several racks.
    bool longRunning = false; ///< Runs until the job is cancelled.
    bool bestEffort = false; ///< Uses CPU time that other tasks leave idle; no CPU is reserved for it.
    bool speculative = false; ///< Several copies of a task may run at the same time.
    std::string image; ///< Tasks with the same image behave alike.
    std::chrono::milliseconds tailLatencyTarget{0}; ///< Tail latency objective of long-running tasks.
    std::uint32_t maxUnavailable = 0; ///< Long-running tasks that the scheduler may stop at the same time.

    /// Returns whether a task can be stopped and resumed on another worker without losing work.
    bool isResumable() const
    {
        return checkpointing && !gang && !longRunning && !bestEffort;
    }
    MSGPACK_DEFINE(count,
                   perTask,
                   estimatedRunTime,
                   after,
                   requiredLabel,
                   dataRack,
                   maxPerWorker,
                   checkpointing,
                   gang,
                   sameRack,
                   longRunning,
                   bestEffort,
                   speculative,
                   image,
                   tailLatencyTarget,
                   maxUnavailable)
};

/// Bounds the space that one job takes in the log and on every replica.
constexpr std::size_t MaxSteps = 256;

struct JobSpec {
    std::string payload; ///< Passed to the worker unchanged.
    std::vector<StepSpec> steps;
    std::uint32_t occurrences = 0; ///< 0 for a job that runs once and immediately.
    WallTime startAt{0}; ///< Due time of the first occurrence.
    std::chrono::milliseconds interval{0};

    std::uint32_t occurrenceCount() const
    {
        return occurrences == 0 ? 1 : occurrences;
    }
    std::size_t tasksPerOccurrence() const;
    MSGPACK_DEFINE(payload, steps, occurrences, startAt, interval)
};

/// Returns why a job must be rejected, or nothing if it is valid.
std::optional<std::string> findFault(const JobSpec &spec);

} // namespace yuccawheel::workflow
