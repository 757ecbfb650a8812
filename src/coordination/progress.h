#pragma once

#include "base/clock.h"
#include "coordination/types.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace yuccawheel::coordination
{

/// Replication state of one other replica as tracked by the leader, with flow control for entries and snapshot chunks.
struct Progress {
    enum class Mode : std::uint8_t {
        Probe, ///< The last index in agreement is unknown: heartbeats search for it, and no entries are sent.
        Replicate, ///< Entries are sent without waiting for earlier acknowledgements.
        Snapshot, ///< A snapshot is being sent.
    };
    struct InFlight {
        Index last = 0;
        std::size_t bytes = 0;
    };

    Mode mode = Mode::Probe;
    Index matched = 0; ///< Last index known to be on the disk of the replica.
    Index next = 1; ///< Next index to send.
    Index sentCommitIndex = 0; ///< Commit index last sent to the replica.
    std::deque<InFlight> inFlight;
    std::size_t inFlightBytes = 0;
    std::uint64_t ackedRound = 0; ///< Latest heartbeat round that the replica has answered.
    base::TimePoint lastHeard{};
    Index catchUpTarget = 0; ///< Commit index one heartbeat ago; a learner that holds it has caught up.

    SnapshotMeta snapshot;
    bool snapshotStarted = false;
    std::uint64_t snapshotSent = 0;
    std::uint64_t snapshotAcked = 0;
    std::uint64_t snapshotHeld =
        0; ///< Bytes in the latest response; fewer than `snapshotAcked` if the receiver has restarted.
    std::uint64_t previousSnapshotAcked = 0; ///< `snapshotAcked` one heartbeat ago; if unchanged, chunks were lost.

    void clearInFlight()
    {
        inFlight.clear();
        inFlightBytes = 0;
    }
    void acknowledge(Index index)
    {
        while (!inFlight.empty() && inFlight.front().last <= index) {
            inFlightBytes -= inFlight.front().bytes;
            inFlight.pop_front();
        }
    }
};

} // namespace yuccawheel::coordination
