#pragma once

#include "base/clock.h"
#include "coordination/replicated_log.h"
#include "coordination/types.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace yuccawheel::workflow
{

/// Position of a proposed entry in the log.
struct ProposalResult {
    std::uint64_t id = 0;
    std::optional<coordination::Position> position; ///< Empty if the replica refused the proposal.
};

/// Role of the replica and its view of the replica set.
struct LogStatus {
    coordination::Role role = coordination::Role::Joining;
    coordination::Term term = 0;
    coordination::ReplicaId leader;
    std::optional<base::TimePoint> leaseEnd; ///< Set on a leader: no other replica can lead before.
    std::vector<std::uint32_t> members; ///< Node numbers of the replica set.
};

/// What one flush of the replica means for the application. The fields are handled in the order of their declaration,
/// `takeState` before `status`.
struct LogOutput {
    std::vector<ProposalResult> results;
    std::optional<std::string> snapshot; ///< Replaces the application's state.
    std::vector<coordination::Entry> committed;
    LogStatus status;
    /// Set if the log wants the application's state after `committed`, to save it as a snapshot.
    std::function<void(std::string)> takeState;
};

} // namespace yuccawheel::workflow
