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
    std::uint64_t epoch = 0; ///< Orders of a lower one are refused.
    std::string checkpoint; ///< Empty to begin anew.
    std::string ticket; ///< Empty where none is needed.
};

struct StopOrder {
    TaskRef task;
    std::uint32_t run = 0;
    std::uint64_t epoch = 0;
};

/// Renews a worker's lease, tells it which ends are taken note of, and asks what it runs.
struct PollOrder {
    std::uint64_t number = 0; ///< Comes back with the answer.
    std::optional<std::chrono::milliseconds> leaseUntil;
    std::uint64_t epoch = 0;
    std::uint64_t acknowledged = 0; ///< Ends up to this number may be forgotten.
    std::chrono::milliseconds wait{0}; ///< The answer may wait so long for an end.
};

enum class OrderOutcome : std::uint8_t {
    Done,
    NoAnswer, ///< It may have been carried out, or may yet be.
    Unhealthy, ///< Not carried out; the worker is not well.
    StaleEpoch, ///< Not carried out: a later leader gives the orders.
    OldRun, ///< Not carried out: this run, or a later one, has ended there.
    TooLate, ///< Not carried out: the lease that it came with had run out.
    NoRoom, ///< Not carried out.
    NoTicket, ///< Not carried out: the ticket is not, or no longer, valid.
    OtherIncarnation, ///< Not carried out: another life of a worker is at this address.
    Malformed, ///< Not carried out.
};
std::string_view toString(OrderOutcome outcome);

struct OrderAnswer {
    OrderOutcome outcome = OrderOutcome::NoAnswer;
    std::optional<std::chrono::milliseconds> clock; ///< Reading of the worker's clock.
};

struct PollAnswer {
    std::uint64_t number = 0; ///< Of the order.
    OrderOutcome outcome = OrderOutcome::NoAnswer;
    std::optional<std::chrono::milliseconds> clock;
    std::int64_t born = 0; ///< Of the life that answered; 0 if it does not say.
    std::uint64_t acknowledged = 0; ///< As the worker was told: 0 over a connection that may lead to a new life.
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;
};

/// A question to the eligibility service, put by one of the asking machines.
struct EligibilityQuery {
    std::uint64_t number = 0;
    std::uint64_t gateway = 0;
    std::string step; ///< `JOB.OCCURRENCE.STEP`.
    std::vector<std::string> workers; ///< Ids.
    std::chrono::milliseconds timeout{0};
};

/// Rows of worker id and ticket text; nothing if the question was not answered.
using EligibilityRows = std::optional<std::vector<std::pair<std::string, std::string>>>;

/// What the job manager has done outside. Answers come back to the manager later, never from within a call.
class ManagerPort
{
public:
    virtual ~ManagerPort() = default;
    /// Returns false if the log takes no entry now.
    virtual bool propose(const LogEntry &entry) = 0;
    virtual void start(WorkerNumber worker, const WorkerIdentity &identity, const StartOrder &order) = 0;
    virtual void stop(WorkerNumber worker, const WorkerIdentity &identity, const StopOrder &order) = 0;
    virtual void poll(WorkerNumber worker, const WorkerIdentity &identity, const PollOrder &order) = 0;
    virtual void queryEligibility(const EligibilityQuery &question) = 0;
    /// A life is over: connections to it are of no more use.
    virtual void forget(const WorkerIdentity &identity) = 0;
};

} // namespace yuccawheel::workflow
