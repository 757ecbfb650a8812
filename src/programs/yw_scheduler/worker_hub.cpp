#include "worker_hub.h"

#include "base/log.h"
#include "daemon/json_api.h"

#include <algorithm>

namespace yuccawheel::scheduler
{

namespace
{

/// A worker that has not polled for this long is silent and gets no new tasks.
constexpr std::chrono::milliseconds SilenceTimeout{3'000};
constexpr std::chrono::milliseconds MaxAnswerDelay{5'000};
/// `detachedFor` of tasks whose job has no share here.
constexpr std::chrono::hours DefaultDetachedFor{1};
/// Maximum difference between the clock rates of two VMs.
constexpr int ClockDriftPerMille = 10;
/// Time allowed for a worker to act on an expired lease.
constexpr std::chrono::milliseconds ExpiryMargin{1'000};

bool isTerminal(placement::TaskState state)
{
    return state != placement::TaskState::Running;
}

} // namespace

std::chrono::milliseconds leaseExpiryTimeout(std::chrono::milliseconds detachedFor)
{
    return detachedFor + detachedFor * ClockDriftPerMille / 1000 + ExpiryMargin;
}

WorkerHub::WorkerHub(HubListener &listener, std::chrono::milliseconds lease) : listener_(listener), lease_(lease)
{
}

void WorkerHub::startOwning(std::uint64_t epoch,
                            const std::string &node,
                            const std::vector<std::string> &registeredWorkers,
                            base::TimePoint now)
{
    epoch_ = epoch;
    node_ = node;
    workers_.clear();
    byName_.clear();
    for (const std::string &name : registeredWorkers) {
        Worker &worker = findOrAddWorker(name);
        worker.isRegistered = true;
        worker.lastAnsweredAt = now;
    }
}

void WorkerHub::stopOwning(const std::string &newOwner)
{
    redirect_ = newOwner;
    const AnswerHeader header{epoch_, node_, lease_, true};
    for (Worker &worker : workers_) {
        if (const auto respond = std::exchange(worker.openPoll, nullptr)) {
            respond({200, formatAnswer(header, worker.acknowledged, true, {}), "application/json", {}});
        }
    }
    workers_.clear();
    byName_.clear();
    epoch_ = 0;
}

Worker &WorkerHub::findOrAddWorker(const std::string &name)
{
    const auto [found, isNew] = byName_.try_emplace(name, static_cast<placement::WorkerId>(workers_.size()));
    if (isNew) {
        Worker worker;
        worker.id = found->second;
        worker.name = name;
        workers_.push_back(std::move(worker));
    }
    return workers_[found->second];
}

Worker *WorkerHub::findInSession(placement::WorkerId id, std::uint64_t session)
{
    if (id >= workers_.size() || workers_[id].session != session) {
        return nullptr;
    }
    return &workers_[id];
}

void WorkerHub::poll(const std::string &name,
                     const http::Request &request,
                     http::Responder respond,
                     base::TimePoint now)
{
    if (!isOwner()) {
        nlohmann::json body{{"error", "not_owner"}, {"message", "this scheduler does not own the zone"}};
        if (!redirect_.empty()) {
            body["owner"] = redirect_;
        }
        respond(daemon::jsonResponse(409, body));
        return;
    }
    const auto poll = parsePoll(request.body);
    if (!poll) {
        respond(daemon::errorResponse(400, "bad_request", poll.error()));
        return;
    }
    Worker &worker = findOrAddWorker(name);
    if (poll->incarnation < worker.incarnation
        || (poll->incarnation == worker.incarnation && poll->sequence <= worker.sequence && !poll->full)) {
        respond(daemon::errorResponse(409, "stale_poll", "superseded by a newer poll of this worker"));
        return;
    }
    if (const auto previousPoll = std::exchange(worker.openPoll, nullptr)) {
        previousPoll(daemon::errorResponse(409, "stale_poll", "superseded by a newer poll of this worker"));
    }
    worker.openPoll = std::move(respond);
    worker.answerDeadline = now + std::min(poll->wait, MaxAnswerDelay);
    worker.lastPollAt = now;
    if (!worker.isRegistered) {
        listener_.onNewWorker(name);
        return;
    }
    if ((poll->incarnation != worker.incarnation || worker.needsFullPoll) && !poll->full) {
        answerPoll(worker, true, now);
        return;
    }
    if (!(poll->full ? join(worker, *poll) : report(worker, *poll))) {
        base::logWarning("poll_refused").with("worker", name).with("reason", "the planner's input queue is full");
        const auto openPoll = std::exchange(worker.openPoll, nullptr);
        openPoll(daemon::errorResponse(503, "not_ready", "the planner's input queue is full"));
        return;
    }
    worker.incarnation = poll->incarnation;
    worker.sequence = poll->sequence;
    if (!worker.commands.empty()) {
        answerPoll(worker, false, now);
    }
}

// A full poll replaces the known state. Queued commands are dropped: the worker has not received them.
bool WorkerHub::join(Worker &worker, const Poll &poll)
{
    placement::WorkerJoined joined{worker.id, worker.name, poll.rack, poll.capacity, {}, {}};
    for (const Poll::Task &task : poll.tasks) {
        if (isTerminal(task.report.state)) {
            joined.ended.push_back(task.report);
        } else {
            joined.running.push_back({task.report.task, task.reserved});
        }
    }
    if (!listener_.onEvent(std::move(joined), worker.session + 1, std::nullopt)) {
        return false;
    }
    ++worker.session;
    worker.needsFullPoll = false;
    worker.rack = poll.rack;
    worker.capacity = poll.capacity;
    worker.state = Worker::State::Active;
    worker.commands.clear();
    worker.tasks.clear();
    base::logInfo("worker_joined").with("worker", worker.name).with("tasks", poll.tasks.size());
    return report(worker, poll);
}

bool WorkerHub::report(Worker &worker, const Poll &poll)
{
    if (worker.state != Worker::State::Active) {
        if (!listener_.onEvent(placement::WorkerReachable{worker.id}, worker.session, std::nullopt)) {
            return false;
        }
        worker.state = Worker::State::Active;
        base::logInfo("worker_reachable").with("worker", worker.name);
    }
    if (poll.tasks.empty()) {
        return true;
    }
    placement::WorkerReported reported{worker.id, {}};
    for (const Poll::Task &task : poll.tasks) {
        reported.tasks.push_back(task.report);
    }
    if (!listener_.onEvent(std::move(reported), worker.session, poll.sequence)) {
        return false;
    }
    updateTasks(worker, poll);
    return true;
}

void WorkerHub::updateTasks(Worker &worker, const Poll &poll)
{
    for (const Poll::Task &task : poll.tasks) {
        const placement::TaskId id = task.report.task;
        if (isTerminal(task.report.state)) {
            worker.tasks.erase(id);
        } else if (poll.full) {
            worker.tasks[id] = {task.reserved, detachedFor(id.job)};
        }
    }
}

std::chrono::milliseconds WorkerHub::detachedFor(placement::JobId job) const
{
    const JobInfo *const info = listener_.jobInfo(job);
    return info == nullptr ? std::chrono::milliseconds(DefaultDetachedFor) : info->detachedFor;
}

void WorkerHub::confirmRegistration(const std::string &name, base::TimePoint now)
{
    const auto found = byName_.find(name);
    if (found != byName_.end()) {
        workers_[found->second].isRegistered = true;
        answerPoll(workers_[found->second], true, now);
    }
}

void WorkerHub::execute(const placement::StartTask &start, std::uint64_t session)
{
    Worker *const worker = findInSession(start.worker, session);
    const JobInfo *const job = listener_.jobInfo(start.task.job);
    if (worker == nullptr || job == nullptr) {
        base::logInfo("start_dropped").with("task", placement::toString(start.task));
        return;
    }
    worker->tasks[start.task] = {start.reserved, job->detachedFor};
    worker->commands.push_back(formatStart(start, *job));
    base::logInfo("task_placed")
        .with("task", placement::toString(start.task))
        .with("job", job->name)
        .with("worker", worker->name)
        .with("rack", worker->rack)
        .with("waited_ms", start.waited.count());
}

void WorkerHub::execute(const placement::StopTask &stop, std::uint64_t session)
{
    if (Worker *const worker = findInSession(stop.worker, session)) {
        worker->commands.push_back(formatStop(stop));
        base::logInfo("task_stop")
            .with("task", placement::toString(stop.task))
            .with("worker", worker->name)
            .with("checkpoint", stop.checkpointFirst)
            .with("reason", placement::toString(stop.reason));
    }
}

void WorkerHub::execute(const placement::ThrottleTask &throttle, std::uint64_t session)
{
    if (Worker *const worker = findInSession(throttle.worker, session)) {
        worker->commands.push_back(formatThrottle(throttle));
        base::logInfo("task_throttle")
            .with("task", placement::toString(throttle.task))
            .with("worker", worker->name)
            .with("milli_cpu", throttle.limit.milliCpu)
            .with("memory_mib", throttle.limit.memoryMib);
    }
}

void WorkerHub::stopTasksOf(placement::JobId job)
{
    for (Worker &worker : workers_) {
        for (const auto &[task, outstanding] : worker.tasks) {
            if (task.job == job) {
                worker.commands.push_back(formatStop({worker.id, task, placement::StopReason::NotOurs, false}));
            }
        }
    }
}

void WorkerHub::acknowledge(placement::WorkerId id, std::uint64_t session, std::uint64_t sequence)
{
    if (Worker *const worker = findInSession(id, session)) {
        worker->acknowledged = std::max(worker->acknowledged, sequence);
    }
}

bool WorkerHub::drain(const std::string &name, bool drain)
{
    const auto found = byName_.find(name);
    if (found == byName_.end()) {
        return false;
    }
    Worker &worker = workers_[found->second];
    worker.draining = drain;
    return listener_.onEvent(placement::WorkerDrain{worker.id, drain}, worker.session, std::nullopt);
}

void WorkerHub::answerPoll(Worker &worker, bool needFull, base::TimePoint now)
{
    const auto respond = std::exchange(worker.openPoll, nullptr);
    if (!respond) {
        return;
    }
    const std::vector<std::string> commands(worker.commands.begin(), worker.commands.end());
    worker.commands.clear();
    worker.lastAnsweredAt = now;
    const AnswerHeader header{epoch_, node_, lease_, false};
    respond({200, formatAnswer(header, worker.acknowledged, needFull, commands), "application/json", {}});
}

void WorkerHub::sendCommands(base::TimePoint now)
{
    for (Worker &worker : workers_) {
        if (worker.openPoll && !worker.commands.empty()) {
            answerPoll(worker, false, now);
        }
    }
}

void WorkerHub::tick(base::TimePoint now)
{
    for (Worker &worker : workers_) {
        if (worker.openPoll && now >= worker.answerDeadline) {
            answerPoll(worker, worker.needsFullPoll, now);
        }
        if (worker.state == Worker::State::Active && !worker.openPoll && now - worker.lastPollAt > SilenceTimeout
            && now - worker.lastAnsweredAt > SilenceTimeout
            && listener_.onEvent(placement::WorkerUnreachable{worker.id}, worker.session, std::nullopt)) {
            worker.state = Worker::State::Silent;
            base::logWarning("worker_silent").with("worker", worker.name).with("tasks", worker.tasks.size());
        }
        if (worker.state == Worker::State::Silent) {
            expireTasks(worker, now);
        }
    }
}

// Each task's lease starts at the last answer that the worker may have received.
void WorkerHub::expireTasks(Worker &worker, base::TimePoint now)
{
    placement::WorkerReported expired{worker.id, {}};
    for (const auto &[task, outstanding] : worker.tasks) {
        if (now - worker.lastAnsweredAt > leaseExpiryTimeout(outstanding.detachedFor)) {
            expired.tasks.push_back({task, placement::TaskState::Stopped, {}});
        }
    }
    const std::size_t count = expired.tasks.size();
    if (count < worker.tasks.size() && count > 0) {
        const auto tasks = expired.tasks;
        if (listener_.onEvent(std::move(expired), worker.session, std::nullopt)) {
            for (const auto &task : tasks) {
                worker.tasks.erase(task.task);
            }
        }
    } else if (count == worker.tasks.size()
               && listener_.onEvent(placement::WorkerLeasesExpired{worker.id}, worker.session, std::nullopt)) {
        worker.tasks.clear();
        worker.state = Worker::State::Expired;
        worker.needsFullPoll = true;
        base::logWarning("worker_expired").with("worker", worker.name);
    }
}

std::vector<std::string> WorkerHub::missingWorkers() const
{
    std::vector<std::string> names;
    for (const Worker &worker : workers_) {
        if (worker.isRegistered && worker.session == 0) {
            names.push_back(worker.name);
        }
    }
    return names;
}

std::vector<std::string> WorkerHub::expireMissingWorkers()
{
    std::vector<std::string> names = missingWorkers();
    for (const std::string &name : names) {
        findOrAddWorker(name).isRegistered = false;
    }
    return names;
}

protocol::ZoneSummary WorkerHub::summary() const
{
    protocol::ZoneSummary summary;
    for (const Worker &worker : workers_) {
        if (worker.state == Worker::State::Active) {
            ++summary.workers;
            summary.capacity += worker.capacity;
        }
        for (const auto &[task, outstanding] : worker.tasks) {
            summary.reserved += outstanding.reserved;
        }
    }
    return summary;
}

} // namespace yuccawheel::scheduler
