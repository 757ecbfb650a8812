#pragma once

#include "coordination/types.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace yuccawheel::coordination
{

/// Returns the member with this identity, or null.
const Member *findMember(const ReplicaSet &set, ReplicaId id);
/// Returns the member with the same node but another generation than `id`, or null.
const Member *findOtherGeneration(const ReplicaSet &set, ReplicaId id);
bool isVoter(const ReplicaSet &set, ReplicaId id);
std::size_t voterCount(const ReplicaSet &set);
/// Returns whether more than half of the voters satisfy the predicate; false for a set without voters.
bool hasMajority(const ReplicaSet &set, const std::function<bool(ReplicaId)> &predicate);

/// These return a copy of the set with one member added, changed or removed.
ReplicaSet withLearner(const ReplicaSet &set, ReplicaId id);
ReplicaSet withVoter(const ReplicaSet &set, ReplicaId id);
ReplicaSet withoutMember(const ReplicaSet &set, ReplicaId id);

/// Encodes the data of a ReplicaSet entry.
std::string encodeReplicaSet(const ReplicaSet &set);
/// Decodes the data of a ReplicaSet entry, or returns nothing if it is malformed.
std::optional<ReplicaSet> decodeReplicaSet(std::string_view data);

} // namespace yuccawheel::coordination
