#pragma once

#include "base/clock.h"
#include "coordination/types.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace yuccawheel::coordination
{

/// What the leader knows about one other replica, with the flow control of its entries and snapshot chunks.
struct Progress {
    enum class Mode : std::uint8_t {
        Probe, ///< The point of agreement is unknown: heartbeats look for it, no entries are sent.
        Replicate, ///< Requests are sent ahead of their acknowledgements.
        Snapshot, ///< A snapshot is on its way.
    };
    struct InFlight {
        Index last = 0;
        std::size_t bytes = 0;
    };

    Mode mode = Mode::Probe;
    Index matched = 0;
    Index next = 1;
    Index committedSent = 0; ///< Commit index that the replica was last told of.
    std::deque<InFlight> inFlight;
    std::size_t inFlightBytes = 0;
    std::uint64_t ackedRound = 0;
    base::TimePoint lastHeard{};
    Index catchUpTarget = 0; ///< Commit index one heartbeat ago; a learner past it has caught up.

    SnapshotMeta snapshot;
    bool snapshotStarted = false;
    std::uint64_t snapshotSent = 0;
    std::uint64_t snapshotAcked = 0;
    std::uint64_t snapshotHeld = 0; ///< Last word of the receiver; less than `snapshotAcked` after its restart.
    std::uint64_t snapshotAckedBefore = 0; ///< `snapshotAcked` one heartbeat ago; no change means a loss.

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
