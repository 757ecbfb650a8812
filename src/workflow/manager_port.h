#pragma once

#include "workflow/log_entry.h"
#include "workflow/worker.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yuccawheel::workflow
{

/// Order to a worker to start a run.
struct StartOrder {
    TaskRef task;
    std::uint32_t run = 0;
    std::string payload;
    std::chrono::milliseconds leaseUntil{0}; ///< Reading of the worker's clock.
    std::uint64_t fence = 0; ///< Fencing token: a worker refuses orders with a lower one than it has seen.
    std::string checkpoint; ///< Empty to start from scratch.
    std::string ticket; ///< Empty if the worker requires none.
};

struct StopOrder {
    TaskRef task;
    std::uint32_t run = 0;
    std::uint64_t fence = 0;
};

/// Renews a worker's lease, acknowledges ended runs and requests the list of its runs.
struct PollOrder {
    std::uint64_t number = 0; ///< Repeated in the answer.
    std::optional<std::chrono::milliseconds> leaseUntil;
    std::uint64_t fence = 0;
    /// The worker may forget ends up to this number. Must reach no other incarnation than the one it is meant for.
    std::uint64_t acknowledged = 0;
    std::chrono::milliseconds wait{0}; ///< Maximum time that the worker may delay its answer until a run ends.
};

enum class OrderOutcome : std::uint8_t {
    Done,
    NoAnswer, ///< The order may have been executed or still be.
    Unhealthy, ///< Not executed: the worker is unhealthy.
    StaleFence, ///< Not executed: the worker has had an order of a later leader, or this one knows of a later
                ///< incarnation.
    OldRun, ///< Not executed: this run or a later one has already ended there.
    TooLate, ///< Not executed: the lease in the order had expired.
    NoRoom, ///< Not executed: the capacity of the worker is exhausted.
    NoTicket, ///< Not executed: the ticket is invalid or has expired.
    OtherIncarnation, ///< Not executed: another incarnation or worker uses this address.
    Malformed, ///< Not executed: the worker could not parse the order.
};
std::string_view toString(OrderOutcome outcome);

struct OrderAnswer {
    OrderOutcome outcome = OrderOutcome::NoAnswer;
    std::optional<std::chrono::milliseconds> clock; ///< Reading of the worker's clock.
    std::optional<std::chrono::milliseconds> sentAfter{}; ///< From the order to its first write; nothing if unknown.
    bool connectionEnded = false; ///< Instead of an answer, as when the worker's process ends; not by a timeout.
};

struct PollAnswer {
    std::uint64_t number = 0; ///< Number of the order.
    OrderOutcome outcome = OrderOutcome::NoAnswer;
    std::optional<std::chrono::milliseconds> clock;
    std::int64_t born = 0; ///< Start time of the incarnation that answered; 0 if unknown.
    std::uint64_t acknowledged = 0; ///< Value that the worker received: 0 if it may be another incarnation.
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;
    /// False if a list is missing, may be cut short or has rows that can't be read: a run may be there, or have ended
    /// there, without being listed.
    bool isComplete = true;
    bool areAllEndsListed = true; ///< False if the list of ends is missing or may be cut short.
};

/// A query to the eligibility service, sent through a gateway.
struct EligibilityQuery {
    std::uint64_t number = 0;
    std::uint64_t gateway = 0;
    std::string step; ///< `JOB.OCCURRENCE.STEP`.
    std::vector<std::string> workers; ///< Worker ids.
    std::chrono::milliseconds timeout{0};
};

/// Pairs of worker id and ticket text; nothing if the query was not answered.
using EligibilityRows = std::optional<std::vector<std::pair<std::string, std::string>>>;

/// Orders to workers and queries. Answers are delivered later, never from within a call.
class OrderPort
{
public:
    virtual ~OrderPort() = default;
    virtual void start(WorkerNumber worker, const WorkerIdentity &identity, const StartOrder &order) = 0;
    virtual void stop(WorkerNumber worker, const WorkerIdentity &identity, const StopOrder &order) = 0;
    virtual void poll(WorkerNumber worker, const WorkerIdentity &identity, const PollOrder &order) = 0;
    virtual void queryEligibility(const EligibilityQuery &query) = 0;
    /// Drops the connections to a worker incarnation that has ended.
    virtual void forget(const WorkerIdentity &identity) = 0;
};

/// Side effects of the job manager.
class ManagerPort : public OrderPort
{
public:
    /// Proposes an entry to the log. Returns false if the log accepts none at the moment.
    virtual bool propose(const LogEntry &entry) = 0;
};

} // namespace yuccawheel::workflow
