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
/// Returns the member of this node other than `id`, or null.
const Member *findOtherGeneration(const ReplicaSet &set, ReplicaId id);
bool isVoter(const ReplicaSet &set, ReplicaId id);
std::size_t voterCount(const ReplicaSet &set);
/// True if more than half of the voters satisfy the predicate; false for a set without voters.
bool majorityOf(const ReplicaSet &set, const std::function<bool(ReplicaId)> &predicate);

/// Return a copy of the set with one change.
ReplicaSet withLearner(const ReplicaSet &set, ReplicaId id);
ReplicaSet withVoter(const ReplicaSet &set, ReplicaId id);
ReplicaSet without(const ReplicaSet &set, ReplicaId id);

/// Data of an entry of kind ReplicaSet.
std::string encodeReplicaSet(const ReplicaSet &set);
/// Returns nothing for malformed data.
std::optional<ReplicaSet> decodeReplicaSet(std::string_view data);

} // namespace yuccawheel::coordination
