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

/// Time after its last answer by which a task has surely stopped, whatever the rates of the clocks.
std::chrono::milliseconds leaseSurelyOver(std::chrono::milliseconds detachedFor);

/// A task that may be running on a worker.
struct OutstandingTask {
    placement::Resources reserved;
    std::chrono::milliseconds detachedFor{0};
};

/// One worker as its owner sees it.
struct Worker {
    enum class State : std::uint8_t {
        Unknown, ///< Named by the roster, or waiting to be put on it.
        Active, ///< Polls.
        Silent, ///< Has missed its polls; its tasks may still run.
        Expired, ///< Its leases have run out: nothing runs there.
    };
    placement::WorkerId id = 0;
    std::string name;
    std::string rack;
    placement::Resources capacity;
    State state = State::Unknown;
    bool onRoster = false;
    bool draining = false;
    bool needsFull = true; ///< The next poll must carry the whole list.
    std::uint64_t incarnation = 0;
    std::uint64_t session = 0; ///< Grows with each full list; zero before the first one.
    std::uint64_t sequence = 0;
    std::uint64_t acknowledged = 0;
    base::TimePoint lastAnswer{}; ///< No lease of the worker counts from a later time.
    base::TimePoint lastHeard{};
    base::TimePoint answerBy{}; ///< Of the open poll.
    http::Responder open; ///< The open poll, if any.
    std::deque<std::string> commands;
    std::map<placement::TaskId, OutstandingTask> tasks;
};

/// What the hub tells the rest of the scheduler.
class HubListener
{
public:
    virtual ~HubListener() = default;
    /// Takes an event for the planner. Returns false if there is no room; the poll is then refused.
    virtual bool onEvent(placement::Event event, std::uint64_t session, std::optional<std::uint64_t> sequence) = 0;
    /// A worker that is not on the roster asks for work.
    virtual void onNewWorker(const std::string &name) = 0;
    /// Says what is known of a job, or nothing if it has no share here.
    virtual const JobInfo *jobInfo(placement::JobId job) const = 0;
};

/// The workers of a zone: their polls, the commands that wait for them, and their leases.
/// All calls are on the network thread; the time comes in.
class WorkerHub
{
public:
    WorkerHub(HubListener &listener, std::chrono::milliseconds lease);

    /// Starts to own the zone's workers under an epoch, with those that an earlier owner may have used.
    void startOwning(std::uint64_t epoch,
                     const std::string &node,
                     const std::vector<std::string> &roster,
                     base::TimePoint now);
    /// Gives all workers up; open polls are answered as released.
    void stopOwning(const std::string &newOwner);
    bool owning() const
    {
        return epoch_ != 0;
    }
    void setRedirect(std::string workerAddress)
    {
        redirect_ = std::move(workerAddress);
    }

    void poll(const std::string &name, const http::Request &request, http::Responder respond, base::TimePoint now);
    /// A worker was put on the roster: work may be placed on it once it has sent its full list.
    void admit(const std::string &name, base::TimePoint now);
    /// Queues commands of the planner; those of an earlier session of the worker are dropped.
    void execute(const placement::StartTask &start, std::uint64_t session);
    void execute(const placement::StopTask &stop, std::uint64_t session);
    void execute(const placement::ThrottleTask &throttle, std::uint64_t session);
    /// Queues stops for every task of a job, without asking the planner.
    void stopTasksOf(placement::JobId job);
    /// End states that the worker sent up to a sequence number are safe.
    void acknowledge(placement::WorkerId worker, std::uint64_t session, std::uint64_t sequence);
    bool drain(const std::string &name, bool drain);
    /// Answers polls that are due, and finds silent workers and leases that have run out.
    void tick(base::TimePoint now);
    /// Answers every open poll that has commands.
    void flush(base::TimePoint now);

    /// Workers of the roster that have neither joined nor run out of leases.
    std::vector<std::string> missingWorkers() const;
    /// Says that the leases of workers that never joined have run out; returns their names.
    std::vector<std::string> expireMissing();
    protocol::ZoneSummary summary() const;
    const std::vector<Worker> &workers() const
    {
        return workers_;
    }

private:
    Worker &workerOf(const std::string &name);
    Worker *find(placement::WorkerId id, std::uint64_t session);
    bool join(Worker &worker, const Poll &poll);
    bool report(Worker &worker, const Poll &poll);
    void noteTasks(Worker &worker, const Poll &poll);
    void answer(Worker &worker, bool needFull, base::TimePoint now);
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
