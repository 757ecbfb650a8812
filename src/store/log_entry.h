#pragma once

#include "protocol/messages.h"

#include <tl/expected.hpp>

#include <chrono>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace yuccawheel::store
{

/// Wall-clock time since the Unix epoch, given by the leader that proposed the entry; for display and retention only.
using WallTime = std::chrono::milliseconds;

/// A range of a job's task indices, given to one zone.
struct Share {
    std::string zone;
    std::uint32_t firstIndex = 0;
    std::uint32_t count = 0;
    std::uint64_t assignedAt = 0; ///< Log index, set when the entry is applied.

    bool operator==(const Share &) const = default;
    MSGPACK_DEFINE(zone, firstIndex, count, assignedAt)
};

using Shares = std::vector<Share>;

// Entries of the agreed log. Whatever depends on the leader's view, such as the choice of zones, is decided before the
// entry is proposed and stands in it, so that each replica applies the same change.

struct SubmissionEntry {
    protocol::Submit submit;
    std::vector<Shares> serviceShares; ///< One for each service of the submission.
    std::vector<Shares> jobShares; ///< One for each job of the submission.
    WallTime acceptedAt{0};

    MSGPACK_DEFINE(submit, serviceShares, jobShares, acceptedAt)
};

struct CancelEntry {
    placement::JobId job = 0;
    WallTime at{0};

    MSGPACK_DEFINE(job, at)
};

struct ZoneEntry {
    protocol::ZoneOwner candidate;
    std::uint64_t replacedEpoch = 0; ///< Applies only if the zone's epoch is still this one.

    MSGPACK_DEFINE(candidate, replacedEpoch)
};

struct ProgressEntry {
    std::string zone;
    std::uint64_t epoch = 0;
    std::vector<protocol::JobProgress> progress;
    std::vector<std::string> joinedWorkers;
    std::vector<std::string> leftWorkers;
    WallTime at{0};

    MSGPACK_DEFINE(zone, epoch, progress, joinedWorkers, leftWorkers, at)
};

/// Gives shares to zones: of jobs that wait for one, or the unfinished part of those of a lost zone.
struct MoveEntry {
    struct Move {
        placement::JobId job = 0;
        std::string from; ///< Empty for a job that has no zone yet.
        Shares to;

        MSGPACK_DEFINE(job, from, to)
    };
    std::uint64_t lostEpoch = 0; ///< Applies only if the lost zone's epoch is still this one.
    std::string lostZone;
    std::vector<Move> moves;
    WallTime at{0};

    MSGPACK_DEFINE(lostEpoch, lostZone, moves, at)
};

/// Drops finished jobs that were kept long enough for their submitter to read the outcome.
struct ForgetEntry {
    std::vector<placement::JobId> jobs;

    MSGPACK_DEFINE(jobs)
};

/// Records a key before the request that carries it is dispatched.
struct ReserveKeyEntry {
    protocol::ReserveKey reserve;
    WallTime at{0};

    MSGPACK_DEFINE(reserve, at)
};

/// Records what became of a key's attempt.
struct FinishKeyEntry {
    protocol::FinishKey finish;

    MSGPACK_DEFINE(finish)
};

using LogEntry = std::variant<SubmissionEntry,
                              CancelEntry,
                              ZoneEntry,
                              ProgressEntry,
                              MoveEntry,
                              ForgetEntry,
                              ReserveKeyEntry,
                              FinishKeyEntry>;

std::string encodeEntry(const LogEntry &entry);
tl::expected<LogEntry, protocol::DecodeError> decodeEntry(std::string_view bytes);

} // namespace yuccawheel::store
