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

/// Milliseconds since the Unix epoch on the clock of the leader that proposed the entry. Used for display and retention
/// only.
using WallTime = std::chrono::milliseconds;

/// A contiguous range of a job's task indices that is assigned to one zone.
struct Share {
    std::string zone;
    std::uint32_t firstIndex = 0;
    std::uint32_t count = 0;
    std::uint64_t assignedAt = 0; ///< Log index of the entry that assigned the share; set when it is applied.

    bool operator==(const Share &) const = default;
    MSGPACK_DEFINE(zone, firstIndex, count, assignedAt)
};

using Shares = std::vector<Share>;

// Entries of the replicated log. Decisions that depend on the leader's local view, such as the choice of zones, are
// made before the entry is proposed and stored in it, so that every replica applies the same change.

/// Changes the configuration or adds jobs, as an operator submitted it.
struct SubmissionEntry {
    protocol::Submit submit;
    std::vector<Shares> serviceShares; ///< One for each service of the submission.
    std::vector<Shares> jobShares; ///< One for each job of the submission.
    WallTime acceptedAt{0};

    MSGPACK_DEFINE(submit, serviceShares, jobShares, acceptedAt)
};

/// Cancels a job.
struct CancelEntry {
    placement::JobId job = 0;
    WallTime at{0};

    MSGPACK_DEFINE(job, at)
};

/// Makes a scheduler the owner of a zone.
struct ZoneEntry {
    protocol::ZoneOwner candidate;
    std::uint64_t replacedEpoch = 0; ///< Applies only if the zone's epoch is still this one.

    MSGPACK_DEFINE(candidate, replacedEpoch)
};

/// A zone owner's report of task outcomes and of workers that joined or left.
struct ProgressEntry {
    std::string zone;
    std::uint64_t epoch = 0;
    std::vector<protocol::JobProgress> progress;
    std::vector<std::string> joinedWorkers;
    std::vector<std::string> leftWorkers;
    WallTime at{0};

    MSGPACK_DEFINE(zone, epoch, progress, joinedWorkers, leftWorkers, at)
};

/// Assigns jobs that wait for a zone, or reassigns the unfinished shares of a lost zone.
struct MoveEntry {
    struct Move {
        placement::JobId job = 0;
        std::string from; ///< Zone that loses the share; empty for a job that has no zone yet.
        Shares to;

        MSGPACK_DEFINE(job, from, to)
    };
    std::uint64_t lostEpoch = 0; ///< Applies only if the lost zone's epoch is still this one.
    std::string lostZone;
    std::vector<Move> moves;
    WallTime at{0};

    MSGPACK_DEFINE(lostEpoch, lostZone, moves, at)
};

/// Removes finished jobs whose retention time is over.
struct ForgetEntry {
    std::vector<placement::JobId> jobs;

    MSGPACK_DEFINE(jobs)
};

/// Reserves an idempotency key before the request that carries it is dispatched.
struct ReserveKeyEntry {
    protocol::ReserveKey reserve;
    WallTime at{0};

    MSGPACK_DEFINE(reserve, at)
};

/// Records the verdict and the answer of the request that reserved a key.
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

/// Encodes an entry as one byte for its kind, followed by its msgpack form.
std::string encodeEntry(const LogEntry &entry);
tl::expected<LogEntry, protocol::DecodeError> decodeEntry(std::string_view bytes);

} // namespace yuccawheel::store
