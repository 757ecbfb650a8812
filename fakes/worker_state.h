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
    std::chrono::milliseconds wait{1000}; ///< Longest wait of one poll.
    std::chrono::milliseconds usageLag{500}; ///< Age of the usage that a poll reports.
    std::chrono::milliseconds runTime{200}; ///< Of a task whose payload doesn't say.
};

/// How a worker misbehaves; changed while it runs.
struct WorkerFaults {
    bool failEverything = false;
    bool hang = false; ///< Polls nobody.
    double runFactor = 1; ///< Tasks run this many times longer than their payload says.
    double usageFactor = 1; ///< Tasks use this many times what they reserved.
};

/// A task index; at most one of its attempts may run at any time.
struct TaskIndex {
    placement::JobId job = 0;
    std::uint32_t index = 0;

    constexpr bool operator==(const TaskIndex &) const = default;
    constexpr bool operator<(const TaskIndex &other) const
    {
        return job != other.job ? job < other.job : index < other.index;
    }
};

/// What happened on a worker, for the journal.
struct WorkerRecord {
    enum class Kind : std::uint8_t { Start, End, Violation };
    Kind kind = Kind::Start;
    std::string task;
    std::string detail; ///< End state, or what was violated.
    std::string serve; ///< Service that the task offers, if any.
    base::TimePoint at;
    std::uint64_t incarnation = 0;
};

/// The worker's side of the worker protocol without sockets, clocks or threads.
class WorkerState
{
public:
    WorkerState(WorkerOptions options, base::TimePoint now);

    /// Ends the tasks whose time is over and those that no owner has renewed.
    void advance(base::TimePoint now);

    /// Builds the body of the next poll.
    nlohmann::json poll(base::TimePoint now);

    /// Takes the 200 answer to the poll sent at `sentAt`. Returns false if its epoch was refused.
    bool answer(const nlohmann::json &answer, base::TimePoint sentAt, base::TimePoint now);

    /// Notes that a poll got no 200 answer, so the next one must carry the whole list.
    void pollFailed();

    /// Ends the current owner's grant early, on its own word.
    void release();

    /// Drops all tasks and comes back with the next incarnation.
    void losePower(base::TimePoint now);

    /// Returns what has happened since the last call.
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
        std::uint64_t firstSequence = 0; ///< First poll that carried it; 0 if none did.
    };

    void start(const nlohmann::json &command, base::TimePoint now);
    void stop(const nlohmann::json &command, base::TimePoint now);
    void throttle(const nlohmann::json &command);
    void end(TaskIndex index, const std::string &state, base::TimePoint at);
    void report(const std::string &id, const std::string &state);
    bool acceptsEpoch(Epoch epoch, const std::string &owner, base::TimePoint now) const;
    nlohmann::json describe(const Running &task, base::TimePoint now) const;
    bool
    startRefused(const std::string &id, TaskIndex index, const placement::Resources &reserved, base::TimePoint now);
    void record(WorkerRecord::Kind kind, const std::string &task, const std::string &detail, base::TimePoint at);

    WorkerOptions options_;
    Epoch epoch_;
    std::string owner_;
    base::TimePoint grantEnds_;
    base::TimePoint lastAnswered_; ///< When the last answered poll was sent.
    std::uint64_t sequence_ = 0;
    bool needFull_ = true;
    std::map<TaskIndex, Running> running_;
    std::map<std::string, Ended> ended_; ///< Not yet acknowledged.
    std::map<std::string, std::string> past_; ///< End state of every attempt of this incarnation that ended here.
    std::vector<WorkerRecord> records_;
};

} // namespace yuccawheel::fakes
