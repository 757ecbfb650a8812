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

/// Name of one run of a worker. A worker that restarted has forgotten its grants, so its name must differ.
using WitnessName = std::string;

/// What the log has decided about a zone. The witnesses are a few of its workers, best on racks of their own.
struct ZoneTerms {
    std::uint64_t logIssued = 0;
    std::vector<std::uint32_t> succession; ///< Nodes that may own the zone; the first is the owner the log chose.
    std::set<WitnessName> witnesses;
};

/// True if every majority of one set meets every majority of the other. The log may change the witnesses only so,
/// compared with the last terms whose owner has reported that it took the zone.
bool majoritiesMeet(const std::set<WitnessName> &before, const std::set<WitnessName> &after);
/// True if too many witnesses are gone for good, or have restarted, for a majority of them ever to grant again. Once
/// this has held for the length of a lease, of all terms since the last that were taken, the log may choose any others.
bool majorityIsGone(const std::set<WitnessName> &witnesses, const std::set<WitnessName> &gone);

struct OwnershipSettings {
    ProcessId self;
    LeaseSettings lease;
    std::chrono::milliseconds renewInterval{2'000}; ///< Also between checks of a standby.
    std::chrono::milliseconds claimTimeout{3'000}; ///< A claim without a majority by then is given up.
    std::chrono::milliseconds logTimeout{5'000}; ///< A log silent for longer counts as out of reach.
    std::chrono::milliseconds stagger{2'000}; ///< Between the successions of neighbours in the order.
};

enum class GrantKind : std::uint8_t {
    Check, ///< Would a request succeed?
    Request,
    Release,
};

/// To one worker, which hands it to its FencingGate.
struct GrantRequest {
    GrantKind kind = GrantKind::Check;
    WitnessName worker;
    ProcessId owner;
    Epoch epoch;
    base::TimePoint sentAt{}; ///< On the owner's clock; echoed.
};

/// Answer to a check or a request.
struct GrantReply {
    GrantKind kind = GrantKind::Check;
    WitnessName worker;
    ProcessId owner;
    Epoch epoch;
    base::TimePoint sentAt{};
    bool granted = false;
    Epoch highest; ///< Highest epoch that the worker has granted, this request included.
};

/// Lets a worker's gate answer a request. Releases have no answer.
std::optional<GrantReply> answer(FencingGate &gate, const GrantRequest &request, base::TimePoint now);

/// Decides for one process whether it owns its zone. An owner holds grants of a majority of the zone's witnesses, so
/// there is one at a time, and none without the zone's workers (docs/design/0203-zone-ownership.md).
class ZoneOwnership
{
public:
    explicit ZoneOwnership(OwnershipSettings settings);

    /// Takes the log's terms, first-hand or from a peer of the zone. Older ones than those known change nothing.
    void learn(const ZoneTerms &terms, base::TimePoint now);
    /// Says that the log has answered this process.
    void logAnswered(base::TimePoint now);
    void receive(const GrantReply &reply, base::TimePoint now);
    /// Returns the requests to send now.
    std::vector<GrantRequest> tick(base::TimePoint now);
    /// Gives the zone up, as when the process leaves. Returns the releases to send.
    std::vector<GrantRequest> resign(base::TimePoint now);

    /// Sets the workers, beside the witnesses, whose grants an owner gathers.
    void setWorkers(std::set<WitnessName> workers);

    /// True while this process may place work and start tasks. Ask after every wait.
    bool owns(base::TimePoint now) const;
    /// True while this process may command this worker: it owns the zone and holds the worker's grant.
    bool mayCommand(const WitnessName &worker, base::TimePoint now) const;
    ProcessId self() const
    {
        return settings_.self;
    }
    /// The epoch that commands carry.
    const Epoch &epoch() const
    {
        return epoch_;
    }
    /// True if the zone seems to have no owner and the log, which is in reach, should be asked for new terms.
    bool wantsTerms() const
    {
        return wantsTerms_;
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
    bool seesVacancy(base::TimePoint now) const;
    bool logInReach(base::TimePoint now) const;
    void standBy(base::TimePoint now, std::vector<GrantRequest> &requests);
    void tickStandby(base::TimePoint now, std::vector<GrantRequest> &requests);
    void claim(const Epoch &epoch, base::TimePoint now, std::vector<GrantRequest> &requests);
    void requestAll(base::TimePoint now, std::vector<GrantRequest> &requests);
    void add(std::vector<GrantRequest> &requests, GrantKind kind, const WitnessName &worker, base::TimePoint now) const;

    OwnershipSettings settings_;
    ZoneTerms terms_;
    std::set<WitnessName> workers_;
    State state_ = State::Standby;
    Epoch epoch_; ///< Of the claim or the ownership; of the checks while standing by.
    Epoch highestSeen_;
    std::map<WitnessName, HeldLease> grants_;
    std::map<WitnessName, base::TimePoint> freeSince_; ///< Witnesses whose last check would have been granted.
    std::optional<base::TimePoint> vacantSince_;
    std::optional<base::TimePoint> logAnsweredAt_;
    base::TimePoint nextSend_{};
    base::TimePoint claimedAt_{};
    base::TimePoint earliestClaim_{};
    bool wantsTerms_ = false;
    bool superseded_ = false; ///< Newer terms came while a claim or an ownership was under way.
};

} // namespace yuccawheel::coordination
