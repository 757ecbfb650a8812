#pragma once

#include "base/clock.h"
#include "coordination/epoch.h"
#include "coordination/fencing_gate.h"
#include "coordination/lease.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace yuccawheel::coordination
{

/// Identifies one run of a worker. A restarted worker has lost its grants, so its name must differ from the earlier
/// one.
using WorkerRunName = std::string;

/// The log's decision on who owns a zone. An owner needs the grants of a majority of the witnesses, which are a few of
/// the zone's workers, preferably on different racks.
struct ZoneAssignment {
    std::uint64_t logEpoch = 0;
    std::vector<std::uint32_t>
        succession; ///< Nodes that may own the zone, in order; the first is the owner chosen by the log.
    std::set<WorkerRunName> witnesses;
};

/// Returns whether every majority of one set intersects every majority of the other. The log may only choose witnesses
/// for which this holds against the latest assignment whose owner has reported that it owns the zone.
bool majoritiesIntersect(const std::set<WorkerRunName> &before, const std::set<WorkerRunName> &after);
/// Returns whether so many witnesses are lost or have restarted that no majority of them can grant again. Once this has
/// held for a lease length for all assignments since the latest one whose owner owned the zone, the log may choose any
/// witnesses.
bool isMajorityLost(const std::set<WorkerRunName> &witnesses, const std::set<WorkerRunName> &gone);

struct OwnershipSettings {
    ProcessId self;
    LeaseSettings lease;
    std::chrono::milliseconds renewInterval{
        2'000}; ///< Between renewals of an owner, and between the checks of a standby.
    std::chrono::milliseconds claimTimeout{3'000}; ///< A claim without a majority is abandoned after this.
    std::chrono::milliseconds logTimeout{5'000}; ///< The log counts as unreachable without contact for this long.
    std::chrono::milliseconds stagger{2'000}; ///< Delay between the takeovers of successive candidates.
};

enum class GrantKind : std::uint8_t {
    Check, ///< Asks whether a request would succeed.
    Request, ///< Requests or renews a grant.
    Release, ///< Returns a grant.
};

/// A message to one worker, to be passed to `handleGrantRequest`.
struct GrantRequest {
    GrantKind kind = GrantKind::Check;
    WorkerRunName worker;
    ProcessId owner;
    Epoch epoch;
    base::TimePoint sentAt{}; ///< On the owner's clock; echoed in the reply.
};

/// Reply to a Check or a Request.
struct GrantReply {
    GrantKind kind = GrantKind::Check;
    WorkerRunName worker;
    ProcessId owner;
    Epoch epoch;
    base::TimePoint sentAt{};
    bool granted = false;
    Epoch highestEpoch; ///< Highest epoch that the worker has granted, including this request.
};

/// Passes a request to a worker's gate and returns the reply, or nothing for a Release.
std::optional<GrantReply> handleGrantRequest(FencingGate &gate, const GrantRequest &request, base::TimePoint now);

/// Decides for one process whether it owns its zone. An owner holds grants from a majority of the zone's witnesses, so
/// there is at most one, and none that cannot reach the zone's workers (docs/design/0203-zone-ownership.md).
class ZoneOwnership
{
public:
    explicit ZoneOwnership(OwnershipSettings settings);

    /// Records an assignment received from the log or from a peer of the zone. Assignments that are not newer are
    /// ignored.
    void updateAssignment(const ZoneAssignment &assignment, base::TimePoint now);
    /// Records a response of the log to this process.
    void recordLogContact(base::TimePoint now);
    void receive(const GrantReply &reply, base::TimePoint now);
    /// Returns the requests to send now.
    std::vector<GrantRequest> tick(base::TimePoint now);
    /// Gives up the zone for good, when the process leaves. Returns the releases to send.
    std::vector<GrantRequest> resign(base::TimePoint now);

    /// Sets the workers from which an owner requests grants in addition to the witnesses.
    void setWorkers(std::set<WorkerRunName> workers);

    /// Returns whether this process owns the zone and may place work and start tasks. Must be asked again after every
    /// wait.
    bool owns(base::TimePoint now) const;
    /// Returns whether this process may command a worker: it owns the zone and holds the worker's grant.
    bool mayCommand(const WorkerRunName &worker, base::TimePoint now) const;
    ProcessId self() const
    {
        return settings_.self;
    }
    /// Returns the epoch that commands must carry.
    const Epoch &epoch() const
    {
        return epoch_;
    }
    /// Returns whether the zone seems to have no owner and the log, which is reachable, should be asked for a new
    /// assignment.
    bool needsNewAssignment() const
    {
        return needsNewAssignment_;
    }

private:
    enum class State : std::uint8_t {
        Standby,
        Claiming,
        Owner,
    };

    std::optional<std::uint32_t> position() const;
    std::optional<Epoch> claimableEpoch() const;
    bool holdsMajority(base::TimePoint now) const;
    bool isVacant(base::TimePoint now) const;
    bool isLogReachable(base::TimePoint now) const;
    void stepDown(base::TimePoint now, std::vector<GrantRequest> &requests);
    void tickStandby(base::TimePoint now, std::vector<GrantRequest> &requests);
    void claim(const Epoch &epoch, base::TimePoint now, std::vector<GrantRequest> &requests);
    void requestAll(base::TimePoint now, std::vector<GrantRequest> &requests);
    void addRequest(std::vector<GrantRequest> &requests,
                    GrantKind kind,
                    const WorkerRunName &worker,
                    base::TimePoint now) const;

    OwnershipSettings settings_;
    ZoneAssignment assignment_;
    std::set<WorkerRunName> workers_;
    State state_ = State::Standby;
    Epoch epoch_; ///< Epoch of the claim or the ownership; on standby, of the checks.
    Epoch highestSeen_;
    std::map<WorkerRunName, HeldLease> grants_;
    std::map<WorkerRunName, base::TimePoint> lastSeenFree_; ///< When each witness last replied that it is free.
    std::optional<base::TimePoint> vacantSince_;
    std::optional<base::TimePoint> lastLogContact_;
    base::TimePoint nextSend_{};
    base::TimePoint claimedAt_{};
    base::TimePoint earliestClaim_{};
    bool needsNewAssignment_ = false;
    bool superseded_ = false; ///< A newer assignment arrived during a claim or an ownership.
};

} // namespace yuccawheel::coordination
