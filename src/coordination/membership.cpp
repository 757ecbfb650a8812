#include "coordination/membership.h"

#include <utility>

namespace yuccawheel::coordination
{

Membership::Membership(std::vector<Peer> peers, DetectorSettings settings) : detector_(settings)
{
    for (Peer &peer : peers) {
        add(std::move(peer));
    }
}

void Membership::add(Peer peer)
{
    const std::uint32_t node = peer.node;
    detector_.forget(node);
    entries_.insert_or_assign(node, Entry{std::move(peer)});
}

// A leaving process stays marked as leaving until its next incarnation, since its last heartbeats may be reordered.
void Membership::receive(const Heartbeat &heartbeat, base::TimePoint now)
{
    const auto found = entries_.find(heartbeat.sender.node);
    if (found == entries_.end()) {
        return;
    }
    const auto known = detector_.incarnation(heartbeat.sender.node);
    if (!detector_.recordHeartbeat(heartbeat.sender, now)) {
        return;
    }
    Entry &entry = found->second;
    const bool sameRun = known == heartbeat.sender.incarnation;
    entry.leaving = heartbeat.leaving || (sameRun && entry.leaving);
    entry.connected = true;
}

void Membership::markDisconnected(std::uint32_t node)
{
    const auto found = entries_.find(node);
    if (found != entries_.end()) {
        found->second.connected = false;
    }
}

std::vector<PeerChange> Membership::update(base::TimePoint now)
{
    std::vector<PeerChange> changes;
    for (auto &[node, entry] : entries_) {
        PeerState state = PeerState::Unknown;
        if (entry.leaving) {
            state = PeerState::Left;
        } else if (entry.connected) {
            state = detector_.isSuspected(node, now) ? PeerState::Suspected : PeerState::Alive;
        }
        if (state != entry.state) {
            changes.push_back(PeerChange{node, entry.state, state});
            entry.state = state;
        }
    }
    return changes;
}

PeerState Membership::state(std::uint32_t node) const
{
    const auto found = entries_.find(node);
    return found == entries_.end() ? PeerState::Unknown : found->second.state;
}

std::optional<std::uint64_t> Membership::incarnation(std::uint32_t node) const
{
    return detector_.incarnation(node);
}

std::vector<Peer> Membership::alivePeers(const std::string &zone) const
{
    std::vector<Peer> peers;
    for (const auto &[node, entry] : entries_) {
        if (entry.state == PeerState::Alive && entry.peer.zone == zone) {
            peers.push_back(entry.peer);
        }
    }
    return peers;
}

} // namespace yuccawheel::coordination
