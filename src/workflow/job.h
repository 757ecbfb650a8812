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

/// Number by which the caller who hands a job in names it; a resend carries the same one.
using JobKey = std::uint64_t;
/// Time of day since the Unix epoch. It may jump; durations are never measured with it.
using WallTime = std::chrono::milliseconds;

/// Text form of a job's key: 16 hexadecimal digits in lower case.
std::string toString(JobKey key);
std::optional<JobKey> parseJobKey(std::string_view text);

/// One task of a job: the task `index` of a step, in one occurrence of the job.
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

/// Tasks of one kind. They may start once every task of the steps in `after` is done.
struct StepSpec {
    std::uint32_t count = 1;
    placement::Resources perTask;
    std::chrono::milliseconds estimatedRunTime{0}; ///< A caller's guess; off by up to half either way.
    std::vector<std::uint32_t> after; ///< Lower numbers only.
    std::string requiredLabel; ///< Empty, or a label that the worker must have.
    std::string dataRack; ///< Empty, or the rack where the tasks run fastest.
    std::uint32_t maxPerWorker = 0; ///< Most tasks of one occurrence on one worker; 0 is no limit.
    bool checkpointing = false;
    bool gang = false; ///< The tasks work only together: all start, and all end, as one.
    bool sameRack = false; ///< The gang is slow if it runs on several racks.
    bool longRunning = false; ///< Runs until the job is cancelled.
    bool bestEffort = false; ///< Takes what other tasks leave unused; its processors are not reserved.
    bool speculative = false; ///< Copies may run at the same time.
    std::string image; ///< Tasks of one image behave alike.
    std::chrono::milliseconds tailLatencyTarget{0}; ///< Of lasting tasks: their users' response times stay below it.
    std::uint32_t maxUnavailable = 0; ///< Of lasting tasks: how many the scheduler may take away at a time.

    /// Returns whether a task can be stopped and resumed elsewhere with nothing lost.
    bool resumable() const
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

struct JobSpec {
    std::string payload; ///< Handed to the worker as it is.
    std::vector<StepSpec> steps;
    std::uint32_t occurrences = 0; ///< 0 for a job that runs once, at once.
    WallTime startAt{0}; ///< When the first occurrence is due.
    std::chrono::milliseconds interval{0};

    std::uint32_t runs() const
    {
        return occurrences == 0 ? 1 : occurrences;
    }
    /// Returns how many tasks one occurrence has.
    std::size_t tasks() const;
    MSGPACK_DEFINE(payload, steps, occurrences, startAt, interval)
};

/// Returns why a job can't be accepted, or nothing.
std::optional<std::string> findFault(const JobSpec &spec);

} // namespace yuccawheel::workflow
