#pragma once

#include "base/clock.h"
#include "http/server.h"
#include "placement/events.h"
#include "protocol/messages.h"
#include "worker_protocol.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace yuccawheel::scheduler
{

/// Time after the last answer to a worker by which a task with this `detachedFor` has certainly stopped, including the
/// maximum clock drift.
std::chrono::milliseconds leaseExpiryTimeout(std::chrono::milliseconds detachedFor);

/// A task that may be running on a worker.
struct OutstandingTask {
    placement::Resources reserved;
    std::chrono::milliseconds detachedFor{0};
};

/// A worker as seen by the zone's owner.
struct Worker {
    enum class State : std::uint8_t {
        Unknown, ///< Has not joined under this owner.
        Active, ///< Polls regularly.
        Silent, ///< Has missed polls; its tasks may still run.
        Expired, ///< All leases have expired; no task runs on it.
    };
    placement::WorkerId id = 0;
    std::string name;
    std::string rack;
    placement::Resources capacity;
    State state = State::Unknown;
    bool isRegistered = false; ///< Recorded in the log as a worker that may hold tasks.
    bool draining = false;
    bool needsFullPoll = true; ///< The next poll must list all tasks.
    std::uint64_t incarnation = 0;
    std::uint64_t session = 0; ///< Incremented by each full poll; 0 before the first one.
    std::uint64_t sequence = 0; ///< Of the last accepted poll.
    std::uint64_t acknowledged = 0; ///< Final task states up to this sequence number are stored in the log.
    base::TimePoint lastAnsweredAt{}; ///< No lease on the worker starts later than this.
    base::TimePoint lastPollAt{};
    base::TimePoint answerDeadline{}; ///< Deadline for answering the open poll.
    http::Responder openPoll; ///< Responder of the open poll; null if there is none.
    std::deque<std::string> commands;
    std::map<placement::TaskId, OutstandingTask> tasks;
};

/// Receives events of a WorkerHub.
class HubListener
{
public:
    virtual ~HubListener() = default;
    /// Passes an event to the planner. Returns false if the planner's queue is full; the event is then dropped and must
    /// be repeated.
    virtual bool onEvent(placement::Event event, std::uint64_t session, std::optional<std::uint64_t> sequence) = 0;
    /// A worker that is not registered has polled.
    virtual void onNewWorker(const std::string &name) = 0;
    /// Returns nullptr if the job has no share in this zone.
    virtual const JobInfo *jobInfo(placement::JobId job) const = 0;
};

/// Manages the workers of a zone: their polls, queued commands and leases. All calls are made on the network thread.
class WorkerHub
{
public:
    WorkerHub(HubListener &listener, std::chrono::milliseconds lease);

    /// Starts to own the zone's workers. `registeredWorkers` are those that an earlier owner may have used.
    void startOwning(std::uint64_t epoch,
                     const std::string &node,
                     const std::vector<std::string> &registeredWorkers,
                     base::TimePoint now);
    /// Releases all workers and answers their open polls accordingly. `newOwner` is the new owner's worker address,
    /// empty if unknown.
    void stopOwning(const std::string &newOwner);
    bool isOwner() const
    {
        return epoch_ != 0;
    }
    /// Sets the owner's address that is given to workers while this scheduler does not own the zone.
    void setRedirect(std::string workerAddress)
    {
        redirect_ = std::move(workerAddress);
    }

    void poll(const std::string &name, const http::Request &request, http::Responder respond, base::TimePoint now);
    /// The worker's registration is committed: tasks may be placed on it after its next full poll.
    void confirmRegistration(const std::string &name, base::TimePoint now);
    /// Queues a command for a worker. A command of an earlier session is dropped.
    void execute(const placement::StartTask &start, std::uint64_t session);
    void execute(const placement::StopTask &stop, std::uint64_t session);
    void execute(const placement::ThrottleTask &throttle, std::uint64_t session);
    /// Queues a stop command for each task of a job, independently of the planner.
    void stopTasksOf(placement::JobId job);
    /// Final task states that the worker reported up to this sequence number are committed; the next answer says so.
    void acknowledge(placement::WorkerId worker, std::uint64_t session, std::uint64_t sequence);
    /// Returns false if the worker is unknown or the planner's queue is full.
    bool drain(const std::string &name, bool drain);
    /// Answers polls whose deadline has passed; detects silent workers and expired leases.
    void tick(base::TimePoint now);
    /// Answers the open polls of all workers that have queued commands.
    void sendCommands(base::TimePoint now);

    /// Registered workers that have not joined under this owner.
    std::vector<std::string> missingWorkers() const;
    /// Unregisters the missing workers, whose leases have expired, and returns their names.
    std::vector<std::string> expireMissingWorkers();
    protocol::ZoneSummary summary() const;
    const std::vector<Worker> &workers() const
    {
        return workers_;
    }

private:
    Worker &findOrAddWorker(const std::string &name);
    Worker *findInSession(placement::WorkerId id, std::uint64_t session);
    bool join(Worker &worker, const Poll &poll);
    bool report(Worker &worker, const Poll &poll);
    void updateTasks(Worker &worker, const Poll &poll);
    void answerPoll(Worker &worker, bool needFull, base::TimePoint now);
    void expireTasks(Worker &worker, base::TimePoint now);
    std::chrono::milliseconds detachedFor(placement::JobId job) const;

    HubListener &listener_;
    std::chrono::milliseconds lease_;
    std::uint64_t epoch_ = 0;
    std::string node_;
    std::string redirect_;
    std::vector<Worker> workers_;
    std::unordered_map<std::string, placement::WorkerId> byName_;
};

} // namespace yuccawheel::scheduler
