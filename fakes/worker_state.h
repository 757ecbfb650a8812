#pragma once

#include "base/clock.h"
#include "placement/job.h"
#include "placement/resources.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yuccawheel::fakes
{

struct WorkerOptions {
    std::string name = "w1";
    std::string rack = "r1";
    placement::Resources capacity{64'000, 262'144, 0};
    std::uint64_t incarnation = 1;
    std::chrono::milliseconds wait{1000}; ///< Maximum wait of one poll.
    std::chrono::milliseconds usageLag{500}; ///< Time after a task's start until polls report its usage.
    std::chrono::milliseconds runTime{200}; ///< Run time of a task whose payload sets none.
};

/// Faults injected into a worker; they may change while it runs.
struct WorkerFaults {
    bool failEverything = false;
    bool hang = false; ///< Sends no polls.
    double runTimeFactor = 1; ///< Multiplies the run time in the payload.
    double usageFactor = 1; ///< Multiplies the usage of each task.
};

/// Index of a task in its job. At most one attempt of a task may run at any time.
struct TaskIndex {
    placement::JobId job = 0;
    std::uint32_t index = 0;

    constexpr bool operator==(const TaskIndex &) const = default;
    constexpr bool operator<(const TaskIndex &other) const
    {
        return job != other.job ? job < other.job : index < other.index;
    }
};

/// Event on a worker, written to the journal.
struct WorkerRecord {
    enum class Kind : std::uint8_t { Start, End, Violation };
    Kind kind = Kind::Start;
    std::string task;
    std::string detail; ///< End state, or the kind of violation.
    std::string serve; ///< Name of the service that the task serves, or empty.
    base::TimePoint at;
    std::uint64_t incarnation = 0;
};

/// Worker side of the worker protocol, without sockets, clocks or threads.
class WorkerState
{
public:
    WorkerState(WorkerOptions options, base::TimePoint now);

    /// Ends the tasks whose run time is over and those that no owner has renewed within their detached_for.
    void advance(base::TimePoint now);

    /// Builds the body of the next poll.
    nlohmann::json poll(base::TimePoint now);

    /// Handles the 200 answer to the poll sent at `sentAt`. Returns false if the worker refuses its epoch.
    bool answer(const nlohmann::json &answer, base::TimePoint sentAt, base::TimePoint now);

    /// Records that a poll got no 200 answer, so that the next one must list all tasks.
    void pollFailed();

    /// Ends the current owner's lease early, at the owner's request.
    void releaseLease();

    /// Drops all tasks and starts the next incarnation.
    void losePower(base::TimePoint now);

    /// Returns the events since the last call.
    std::vector<WorkerRecord> takeRecords();

    WorkerFaults faults;

private:
    struct Epoch {
        std::uint64_t number = 0;
        std::uint64_t rank = 0;

        constexpr bool operator<(const Epoch &other) const
        {
            return number != other.number ? number < other.number : rank < other.rank;
        }
    };
    struct Running {
        std::string id;
        placement::Resources reserved;
        placement::Resources usage;
        std::optional<placement::Resources> limit;
        base::TimePoint startedAt;
        std::optional<base::TimePoint> endsAt;
        std::chrono::milliseconds detachedFor{0};
        bool succeeds = true;
        bool reported = false;
        bool usageReported = false;
    };
    struct Ended {
        std::string state;
        std::uint64_t firstSequence = 0; ///< Sequence number of the first poll that reported it; 0 if none has.
    };

    void start(const nlohmann::json &command, base::TimePoint now);
    void stop(const nlohmann::json &command, base::TimePoint now);
    void throttle(const nlohmann::json &command);
    void end(TaskIndex index, const std::string &state, base::TimePoint at);
    void report(const std::string &id, const std::string &state);
    bool acceptsEpoch(Epoch epoch, const std::string &owner, base::TimePoint now) const;
    nlohmann::json describe(const Running &task, base::TimePoint now) const;
    bool refuseStart(const std::string &id, TaskIndex index, const placement::Resources &reserved, base::TimePoint now);
    void record(WorkerRecord::Kind kind, const std::string &task, const std::string &detail, base::TimePoint at);

    WorkerOptions options_;
    Epoch epoch_;
    std::string owner_;
    base::TimePoint leaseUntil_;
    base::TimePoint lastAnswered_; ///< Time at which the last answered poll was sent.
    std::uint64_t sequence_ = 0;
    bool fullReportNeeded_ = true;
    std::map<TaskIndex, Running> running_;
    std::map<std::string, Ended> unacknowledgedEnds_; ///< By task id.
    std::map<std::string, std::string> endStates_; ///< End state of each attempt that ended in this incarnation.
    std::vector<WorkerRecord> records_;
};

} // namespace yuccawheel::fakes
