#include "coordination/replica_set.h"

#include "coordination/bytes.h"

#include <algorithm>

namespace yuccawheel::coordination
{

const Member *findMember(const ReplicaSet &set, ReplicaId id)
{
    const auto found =
        std::find_if(set.members.begin(), set.members.end(), [id](const Member &member) { return member.id == id; });
    return found == set.members.end() ? nullptr : &*found;
}

const Member *findOtherGeneration(const ReplicaSet &set, ReplicaId id)
{
    const auto found = std::find_if(set.members.begin(), set.members.end(), [id](const Member &member) {
        return member.id.node == id.node && member.id.generation != id.generation;
    });
    return found == set.members.end() ? nullptr : &*found;
}

bool isVoter(const ReplicaSet &set, ReplicaId id)
{
    const Member *member = findMember(set, id);
    return member != nullptr && member->voter;
}

std::size_t voterCount(const ReplicaSet &set)
{
    return static_cast<std::size_t>(
        std::count_if(set.members.begin(), set.members.end(), [](const Member &member) { return member.voter; }));
}

bool hasMajority(const ReplicaSet &set, const std::function<bool(ReplicaId)> &predicate)
{
    std::size_t matching = 0;
    for (const Member &member : set.members) {
        if (member.voter && predicate(member.id)) {
            ++matching;
        }
    }
    return 2 * matching > voterCount(set);
}

ReplicaSet withLearner(const ReplicaSet &set, ReplicaId id)
{
    ReplicaSet changed = withoutMember(set, id);
    changed.members.push_back(Member{id, false});
    return changed;
}

ReplicaSet withVoter(const ReplicaSet &set, ReplicaId id)
{
    ReplicaSet changed = withoutMember(set, id);
    changed.members.push_back(Member{id, true});
    return changed;
}

ReplicaSet withoutMember(const ReplicaSet &set, ReplicaId id)
{
    ReplicaSet changed = set;
    std::erase_if(changed.members, [id](const Member &member) { return member.id == id; });
    return changed;
}

std::string encodeReplicaSet(const ReplicaSet &set)
{
    std::string data;
    ByteWriter writer(data);
    writer.number(static_cast<std::uint32_t>(set.members.size()));
    for (const Member &member : set.members) {
        writer.number(member.id.node).number(member.id.generation).number(static_cast<std::uint8_t>(member.voter));
    }
    return data;
}

std::optional<ReplicaSet> decodeReplicaSet(std::string_view data)
{
    ByteReader reader(data);
    ReplicaSet set;
    const auto count = reader.number<std::uint32_t>();
    for (std::uint32_t i = 0; i < count && reader.ok(); ++i) {
        Member member;
        member.id.node = reader.number<std::uint32_t>();
        member.id.generation = reader.number<std::uint32_t>();
        member.voter = reader.number<std::uint8_t>() != 0;
        set.members.push_back(member);
    }
    if (!reader.finished()) {
        return std::nullopt;
    }
    return set;
}

} // namespace yuccawheel::coordination
