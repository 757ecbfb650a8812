#include "worker_hub.h"

#include "base/log.h"
#include "daemon/json_api.h"

#include <algorithm>

namespace yuccawheel::scheduler
{

namespace
{

/// Without a poll for this long a worker gets no new tasks.
constexpr std::chrono::milliseconds SilenceLimit{3'000};
constexpr std::chrono::milliseconds LongestWait{5'000};
/// Detached time of tasks whose job is not known here.
constexpr std::chrono::hours UnknownDetachedFor{1};
/// Allowed difference between the rates of two VMs' clocks, in parts of a thousand, and the time of a last step.
constexpr int ClockDriftPerMille = 10;
constexpr std::chrono::milliseconds ExpiryMargin{1'000};

bool isEnd(placement::TaskState state)
{
    return state != placement::TaskState::Running;
}

} // namespace

std::chrono::milliseconds leaseSurelyOver(std::chrono::milliseconds detachedFor)
{
    return detachedFor + detachedFor * ClockDriftPerMille / 1000 + ExpiryMargin;
}

WorkerHub::WorkerHub(HubListener &listener, std::chrono::milliseconds lease) : listener_(listener), lease_(lease)
{
}

void WorkerHub::startOwning(std::uint64_t epoch,
                            const std::string &node,
                            const std::vector<std::string> &roster,
                            base::TimePoint now)
{
    epoch_ = epoch;
    node_ = node;
    workers_.clear();
    byName_.clear();
    for (const std::string &name : roster) {
        Worker &worker = workerOf(name);
        worker.onRoster = true;
        worker.lastAnswer = now;
    }
}

void WorkerHub::stopOwning(const std::string &newOwner)
{
    redirect_ = newOwner;
    const AnswerHead head{epoch_, node_, lease_, true};
    for (Worker &worker : workers_) {
        if (const auto open = std::exchange(worker.open, nullptr)) {
            open({200, formatAnswer(head, worker.acknowledged, true, {}), "application/json", {}});
        }
    }
    workers_.clear();
    byName_.clear();
    epoch_ = 0;
}

Worker &WorkerHub::workerOf(const std::string &name)
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

Worker *WorkerHub::find(placement::WorkerId id, std::uint64_t session)
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
    if (!owning()) {
        nlohmann::json body{{"error", "not_owner"}, {"message", "another scheduler owns the zone"}};
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
    Worker &worker = workerOf(name);
    if (poll->incarnation < worker.incarnation
        || (poll->incarnation == worker.incarnation && poll->sequence <= worker.sequence && !poll->full)) {
        respond(daemon::errorResponse(409, "stale_poll", "a later poll of this worker has arrived"));
        return;
    }
    if (const auto older = std::exchange(worker.open, nullptr)) {
        older(daemon::errorResponse(409, "stale_poll", "a later poll of this worker has arrived"));
    }
    worker.open = std::move(respond);
    worker.answerBy = now + std::min(poll->wait, LongestWait);
    worker.lastHeard = now;
    if (!worker.onRoster) {
        listener_.onNewWorker(name);
        return;
    }
    if ((poll->incarnation != worker.incarnation || worker.needsFull) && !poll->full) {
        answer(worker, true, now);
        return;
    }
    if (!(poll->full ? join(worker, *poll) : report(worker, *poll))) {
        base::logWarning("poll_refused").with("worker", name).with("reason", "planner busy");
        const auto open = std::exchange(worker.open, nullptr);
        open(daemon::errorResponse(503, "not_ready", "the planner is busy"));
        return;
    }
    worker.incarnation = poll->incarnation;
    worker.sequence = poll->sequence;
    if (!worker.commands.empty()) {
        answer(worker, false, now);
    }
}

// A full list replaces what was known: commands that were not answered yet are void, for the worker has not seen them.
bool WorkerHub::join(Worker &worker, const Poll &poll)
{
    placement::WorkerJoined joined{worker.id, worker.name, poll.rack, poll.capacity, {}};
    for (const Poll::Task &task : poll.tasks) {
        if (!isEnd(task.report.state)) {
            joined.running.push_back({task.report.task, task.reserved});
        }
    }
    if (!listener_.onEvent(std::move(joined), worker.session + 1, std::nullopt)) {
        return false;
    }
    ++worker.session;
    worker.needsFull = false;
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
        base::logInfo("worker_back").with("worker", worker.name);
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
    noteTasks(worker, poll);
    return true;
}

void WorkerHub::noteTasks(Worker &worker, const Poll &poll)
{
    for (const Poll::Task &task : poll.tasks) {
        const placement::TaskId id = task.report.task;
        if (isEnd(task.report.state)) {
            worker.tasks.erase(id);
        } else if (poll.full) {
            worker.tasks[id] = {task.reserved, detachedFor(id.job)};
        }
    }
}

std::chrono::milliseconds WorkerHub::detachedFor(placement::JobId job) const
{
    const JobInfo *const info = listener_.jobInfo(job);
    return info == nullptr ? std::chrono::milliseconds(UnknownDetachedFor) : info->detachedFor;
}

void WorkerHub::admit(const std::string &name, base::TimePoint now)
{
    const auto found = byName_.find(name);
    if (found != byName_.end()) {
        workers_[found->second].onRoster = true;
        answer(workers_[found->second], true, now);
    }
}

void WorkerHub::execute(const placement::StartTask &start, std::uint64_t session)
{
    Worker *const worker = find(start.worker, session);
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
    if (Worker *const worker = find(stop.worker, session)) {
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
    if (Worker *const worker = find(throttle.worker, session)) {
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
    if (Worker *const worker = find(id, session)) {
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

void WorkerHub::answer(Worker &worker, bool needFull, base::TimePoint now)
{
    const auto open = std::exchange(worker.open, nullptr);
    if (!open) {
        return;
    }
    const std::vector<std::string> commands(worker.commands.begin(), worker.commands.end());
    worker.commands.clear();
    worker.lastAnswer = now;
    const AnswerHead head{epoch_, node_, lease_, false};
    open({200, formatAnswer(head, worker.acknowledged, needFull, commands), "application/json", {}});
}

void WorkerHub::flush(base::TimePoint now)
{
    for (Worker &worker : workers_) {
        if (worker.open && !worker.commands.empty()) {
            answer(worker, false, now);
        }
    }
}

void WorkerHub::tick(base::TimePoint now)
{
    for (Worker &worker : workers_) {
        if (worker.open && now >= worker.answerBy) {
            answer(worker, worker.needsFull, now);
        }
        if (worker.state == Worker::State::Active && !worker.open && now - worker.lastHeard > SilenceLimit
            && now - worker.lastAnswer > SilenceLimit
            && listener_.onEvent(placement::WorkerUnreachable{worker.id}, worker.session, std::nullopt)) {
            worker.state = Worker::State::Silent;
            base::logWarning("worker_silent").with("worker", worker.name).with("tasks", worker.tasks.size());
        }
        if (worker.state == Worker::State::Silent) {
            expireTasks(worker, now);
        }
    }
}

// Each task's lease counts from the last answer that the worker can have seen.
void WorkerHub::expireTasks(Worker &worker, base::TimePoint now)
{
    placement::WorkerReported expired{worker.id, {}};
    for (const auto &[task, outstanding] : worker.tasks) {
        if (now - worker.lastAnswer > leaseSurelyOver(outstanding.detachedFor)) {
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
        worker.needsFull = true;
        base::logWarning("worker_expired").with("worker", worker.name);
    }
}

std::vector<std::string> WorkerHub::missingWorkers() const
{
    std::vector<std::string> names;
    for (const Worker &worker : workers_) {
        if (worker.onRoster && worker.session == 0) {
            names.push_back(worker.name);
        }
    }
    return names;
}

std::vector<std::string> WorkerHub::expireMissing()
{
    std::vector<std::string> names = missingWorkers();
    for (const std::string &name : names) {
        workerOf(name).onRoster = false;
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
