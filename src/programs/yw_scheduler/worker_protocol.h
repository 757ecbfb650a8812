#pragma once

#include "placement/events.h"

#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace yuccawheel::scheduler
{

/// A worker's poll (docs/protocols.md).
struct Poll {
    struct Task {
        placement::TaskReport report;
        placement::Resources reserved; ///< The resource limit in force, if reported.
    };
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::string rack; ///< In full polls only, like `capacity`.
    placement::Resources capacity;
    bool full = false; ///< Lists all tasks instead of changes since the last poll.
    std::vector<Task> tasks;
    std::chrono::milliseconds wait{0}; ///< How long the answer may be delayed if there are no commands.
};

/// Parses a poll's body. The error message names the invalid field and the allowed values.
tl::expected<Poll, std::string> parsePoll(std::string_view body);

/// The parts of a job's specification that a worker needs to run its tasks.
struct JobInfo {
    placement::JobKind kind = placement::JobKind::Batch;
    std::string name;
    std::string payload;
    std::chrono::milliseconds detachedFor{0};
    bool repeatable = true;
};

/// Formats a command for a worker as a JSON object.
std::string formatStart(const placement::StartTask &start, const JobInfo &job);
std::string formatStop(const placement::StopTask &stop);
std::string formatThrottle(const placement::ThrottleTask &throttle);

/// Fields of a poll's answer that are the same for all workers.
struct AnswerHeader {
    std::uint64_t epoch = 0;
    std::string owner;
    std::chrono::milliseconds lease{0};
    bool released = false; ///< The owner no longer owns the worker.
};

std::string formatAnswer(const AnswerHeader &header,
                         std::uint64_t acknowledged,
                         bool needFull,
                         const std::vector<std::string> &commands);

} // namespace yuccawheel::scheduler
