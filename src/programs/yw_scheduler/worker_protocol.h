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

/// One poll of a worker (docs/protocols.md).
struct Poll {
    struct Task {
        placement::TaskReport report;
        placement::Resources reserved; ///< The limit in force, if the worker says it.
    };
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::string rack; ///< In full polls, like `capacity`.
    placement::Resources capacity;
    bool full = false;
    std::vector<Task> tasks;
    std::chrono::milliseconds wait{0};
};

/// Parses a poll's body. The error names the field and what is allowed.
tl::expected<Poll, std::string> parsePoll(std::string_view body);

/// What a worker needs to know of a job to run one of its tasks.
struct JobInfo {
    placement::JobKind kind = placement::JobKind::Batch;
    std::string name;
    std::string payload;
    std::chrono::milliseconds detachedFor{0};
    bool repeatable = true;
};

/// The commands for one worker, as JSON texts ready to be joined.
std::string formatStart(const placement::StartTask &start, const JobInfo &job);
std::string formatStop(const placement::StopTask &stop);
std::string formatThrottle(const placement::ThrottleTask &throttle);

/// The parts of an answer that are the same for all workers.
struct AnswerHead {
    std::uint64_t epoch = 0;
    std::string owner;
    std::chrono::milliseconds lease{0};
    bool released = false; ///< The owner gives the worker up.
};

std::string formatAnswer(const AnswerHead &head,
                         std::uint64_t acknowledged,
                         bool needFull,
                         const std::vector<std::string> &commands);

} // namespace yuccawheel::scheduler
