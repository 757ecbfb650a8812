#include "workflow/manager_core.h"

#include "base/log.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <stdexcept>
#include <utility>

namespace yuccawheel::workflow
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds MinRestartInterval{500}; ///< Limits job manager restarts while a full disk rejects all entries.
constexpr milliseconds RetryDelay{1'000}; ///< About the duration of an election.
constexpr milliseconds MaxReadWait{1'000}; ///< Gateways wait no longer for a reply.
constexpr milliseconds MaxLeaveWait{600}; ///< Less than the timeout of managers that pass reports on.

std::optional<std::string> findFault(const QueueRequest &submission)
{
    return submission.job ? workflow::findFault(*submission.job) : "the request contains no job";
}

} // namespace

ManagerCore::ManagerCore(CorePort &port, ManagerLimits limits) : port_(port), jobs_(*this, limits)
{
}

Unanswered ManagerCore::unanswered(ProposalOutcome outcome)
{
    return {outcome == ProposalOutcome::Unknown, RetryDelay};
}

void ManagerCore::push(LogOutput output)
{
    updateLease(output.status);
    unapplied_.push_back(std::move(output));
}

void ManagerCore::updateLease(const LogStatus &status)
{
    const bool leading = status.role == coordination::Role::Leader && status.term == status_.term;
    status_.leaseEnd = leading ? status.leaseEnd : std::nullopt;
    jobs_.setLeaseEnd(status_.leaseEnd.value_or(base::TimePoint{}));
}

bool ManagerCore::apply(std::size_t maxEntries, base::TimePoint now, WallTime wall)
{
    now_ = now;
    wall_ = wall;
    std::size_t applied = 0;
    bool changed = false;
    while (!unapplied_.empty()) {
        LogOutput &output = unapplied_.front();
        if (appliedEntries_ == 0) {
            for (const ProposalResult &result : std::exchange(output.results, {})) {
                handleProposalResult(result);
            }
            if (const auto snapshot = std::exchange(output.snapshot, std::nullopt)) {
                auto restored = State::restore(*snapshot);
                if (!restored) {
                    throw std::runtime_error("cannot decode the job state of a snapshot: " + restored.error().message);
                }
                state_ = std::move(*restored);
            }
        }
        while (appliedEntries_ < output.committed.size()) {
            if (applied++ == maxEntries) {
                return changed;
            }
            const coordination::Entry &entry = output.committed[appliedEntries_++];
            changed = changed || entry.kind == coordination::EntryKind::Application;
            applyEntry(entry, now, wall);
        }
        finishOutput(output, now, wall);
        unapplied_.pop_front();
        appliedEntries_ = 0;
    }
    return changed;
}

void ManagerCore::finishOutput(LogOutput &output, base::TimePoint now, WallTime wall)
{
    if (output.takeState) {
        output.takeState(state_.snapshot());
    }
    // The lease may have changed since, with an output that is not applied yet.
    LogStatus status = output.status;
    const LogStatus &newest = unapplied_.back().status;
    const bool leads = newest.role == coordination::Role::Leader && newest.term == status.term;
    status.leaseEnd = leads ? newest.leaseEnd : std::nullopt;
    updateStatus(status, now, wall);
}

void ManagerCore::handleProposalResult(const ProposalResult &result)
{
    auto node = proposals_.extract(result.id);
    if (node.empty()) {
        return;
    }
    if (result.position) {
        pending_[result.position->index] = {result.position->term, std::move(node.mapped())};
    } else if (node.mapped()) {
        node.mapped()(ProposalOutcome::Refused);
    }
}

void ManagerCore::applyEntry(const coordination::Entry &entry, base::TimePoint now, WallTime wall)
{
    if (entry.kind == coordination::EntryKind::TermStart) {
        startedTerm_ = entry.term;
    } else if (entry.kind == coordination::EntryKind::Application) {
        const auto decoded = decodeEntry(entry.data);
        if (!decoded) {
            throw std::runtime_error("cannot decode a committed log entry: " + decoded.error().message);
        }
        std::vector<StateEvent> events;
        state_.apply(*decoded, events);
        jobs_.onEntryApplied(*decoded, events, now, wall);
        for (const StateEvent &event : events) {
            if (event.kind == StateEvent::Kind::JobEnded) {
                waitingReads_.answer(event.job);
            } else if (event.kind == StateEvent::Kind::WorkerGone) {
                leaveReports_.answer(event.worker);
            }
        }
    }
    resolvePending(entry);
}

// An entry of another term at the same index means that the proposed one will never be committed.
void ManagerCore::resolvePending(const coordination::Entry &entry)
{
    while (!pending_.empty() && pending_.begin()->first <= entry.index) {
        auto node = pending_.extract(pending_.begin());
        if (node.mapped().done) {
            const bool committed = node.key() == entry.index && node.mapped().term == entry.term;
            node.mapped().done(committed ? ProposalOutcome::Committed : ProposalOutcome::Unknown);
        }
    }
}

void ManagerCore::updateStatus(const LogStatus &status, base::TimePoint now, WallTime wall)
{
    const LogStatus before = std::exchange(status_, status);
    port_.onStatus(before, status);
    const bool led = before.role == coordination::Role::Leader;
    if (led && (status.role != coordination::Role::Leader || status.term != before.term)) {
        stopLeading("no longer leader of the term");
    }
    resumeLeading(now, wall);
    jobs_.setLeaseEnd(status.leaseEnd.value_or(base::TimePoint{}));
}

void ManagerCore::stopLeading(std::string_view reason)
{
    base::logInfo("leadership_lost").with("reason", reason).with("term", status_.term);
    jobs_.stepDown(); // It may be waiting for a barrier, and not lead.
    waitingReads_.answerAll();
    leaveReports_.answerAll();
    failPendingEntries();
}

// The next leader decides whether these entries are committed, so their callers get no confirmation.
void ManagerCore::failPendingEntries()
{
    for (auto &[index, entry] : std::exchange(pending_, {})) {
        if (entry.done) {
            entry.done(ProposalOutcome::Unknown);
        }
    }
}

bool ManagerCore::proposeEntry(const LogEntry &entry, CommitCallback done)
{
    const std::uint64_t id = nextProposalId_++;
    if (status_.role != coordination::Role::Leader || !port_.pushProposal(id, encodeEntry(entry))) {
        return false;
    }
    proposals_[id] = std::move(done);
    return true;
}

void ManagerCore::review(base::TimePoint now, WallTime wall)
{
    now_ = now;
    wall_ = wall;
    if (restartDue_ && jobs_.isLeading() && now >= earliestRestart_) {
        base::logWarning("entries_not_committed").with("term", status_.term);
        jobs_.stepDown();
    }
    resumeLeading(now, wall);
    waitingReads_.expire(now);
    leaveReports_.expire(now);
}

// Starts the job manager if this replica leads. A job manager that has led in this term has proposed entries that may
// still be committed, so the next one starts after an entry that follows all of them in the log.
void ManagerCore::resumeLeading(base::TimePoint now, WallTime wall)
{
    now_ = now;
    wall_ = wall;
    const bool leads = status_.role == coordination::Role::Leader && startedTerm_ == status_.term;
    if (!leads || jobs_.isLeading() || isBarrierPending_) {
        return;
    }
    if (ledTerm_ != status_.term) {
        startLeading();
        return;
    }
    if (now < earliestRestart_) {
        return;
    }
    earliestRestart_ = now + MinRestartInterval;
    isBarrierPending_ = proposeEntry(ForgetEntry{}, [this, term = status_.term](ProposalOutcome outcome) {
        isBarrierPending_ = false;
        if (outcome == ProposalOutcome::Committed && status_.role == coordination::Role::Leader && status_.term == term
            && !jobs_.isLeading()) {
            startLeading();
        }
    });
}

// The job manager would wait forever for an entry that is never committed. So it is restarted from the committed state
// when a proposed entry fails.
bool ManagerCore::propose(const LogEntry &entry)
{
    return proposeEntry(
        entry, [this](ProposalOutcome outcome) { restartDue_ = restartDue_ || outcome != ProposalOutcome::Committed; });
}

void ManagerCore::startLeading()
{
    jobs_.startLeading(state_, status_.term, now_, wall_);
    jobs_.setLeaseEnd(status_.leaseEnd.value_or(base::TimePoint{}));
    restartDue_ = false;
    ledTerm_ = status_.term;
    earliestRestart_ = now_ + MinRestartInterval;
    port_.onLeading();
}

bool ManagerCore::isLeader(base::TimePoint now) const
{
    return jobs_.isLeading() && status_.leaseEnd && now < *status_.leaseEnd;
}

void ManagerCore::handle(QueueRequest request, base::TimePoint now, WallTime wall, const Done<QueueReply> &done)
{
    const QueueRoute *const route = state_.configuration().findRoute(request.host, request.path);
    if (route == nullptr) {
        // Without a configuration the queues are unknown, so the queue may exist.
        const auto outcome = state_.configuration().version == 0 ? QueueOutcome::Refused : QueueOutcome::NoSuchQueue;
        base::logInfo("queue_unknown")
            .with("host", request.host)
            .with("path", request.path)
            .with("configuration", state_.configuration().version);
        done(QueueReply{outcome, {}, 0, RetryDelay, "no such queue"});
        return;
    }
    const auto rest = std::string_view(request.path).substr(route->pathPrefix.size());
    if (rest.empty() && request.verb == QueueVerb::Read) {
        done(QueueReply{QueueOutcome::Pending, {}, jobs_.pendingJobs(route->policy.queue, now), {}, {}});
        return;
    }
    const auto key = parseJobKey(rest);
    if (key && state_.findJob(*key) != nullptr) {
        handleKnown(*key, request, now, wall, done);
        return;
    }
    if (request.verb != QueueVerb::Submit) {
        if (key && undecided_.contains(*key)) {
            done(tl::make_unexpected(Unanswered{true, RetryDelay}));
        } else {
            done(QueueReply{QueueOutcome::NoSuchJob, {}, 0, {}, {}});
        }
        return;
    }
    const auto fault =
        key ? findFault(request) : std::optional<std::string>("the job id must be 16 hexadecimal digits");
    if (fault) {
        done(QueueReply{QueueOutcome::Malformed, {}, 0, {}, *fault});
        return;
    }
    const auto undecided = undecided_.insert(*key);
    proposeAndReply(AcceptEntry{*key, std::move(*request.job), route->policy, wall},
                    [this, undecided, key = *key, done](tl::expected<QueueReply, Unanswered> reply) {
                        undecided_.erase(undecided);
                        if (!reply && undecided_.contains(key)) {
                            reply.error().mayTakeEffect = true; // An earlier submission of the job.
                        }
                        done(std::move(reply));
                    });
}

void ManagerCore::handleKnown(
    JobKey key, const QueueRequest &request, base::TimePoint now, WallTime wall, const Done<QueueReply> &done)
{
    if (request.verb == QueueVerb::Read) {
        readJob(key, request.wait, now, done);
    } else if (request.verb == QueueVerb::Cancel) {
        cancelJob(key, wall, done);
    } else if (const auto fault = findFault(request)) {
        done(QueueReply{QueueOutcome::Malformed, {}, 0, {}, *fault});
    } else {
        done(QueueReply{QueueOutcome::Accepted, {}, 0, {}, {}});
    }
}

// A manager that has stopped leading meanwhile may not know the job's end, so it doesn't reply with a state.
void ManagerCore::readJob(JobKey key, milliseconds wait, base::TimePoint now, const Done<QueueReply> &done)
{
    auto reply = [this, key, done] {
        const JobRecord *const job = state_.findJob(key);
        if (!isLeader(now_) || job == nullptr) {
            done(tl::make_unexpected(Unanswered{false, RetryDelay}));
            return;
        }
        done(QueueReply{QueueOutcome::State, job->phase, 0, {}, {}});
    };
    now_ = now;
    const bool mayWait = state_.findJob(key)->phase == JobPhase::Running && wait > milliseconds{0} && readsWait_;
    if (!mayWait || !waitingReads_.add(key, now + std::min(wait, MaxReadWait), reply)) {
        reply();
    }
}

void ManagerCore::cancelJob(JobKey key, WallTime wall, const Done<QueueReply> &done)
{
    if (state_.findJob(key)->hasEnded()) {
        done(QueueReply{QueueOutcome::Accepted, {}, 0, {}, {}});
        return;
    }
    proposeAndReply(CancelEntry{key, wall}, done);
}

void ManagerCore::proposeAndReply(const LogEntry &entry, const Done<QueueReply> &done)
{
    const bool taken = proposeEntry(entry, [done](ProposalOutcome outcome) {
        if (outcome == ProposalOutcome::Committed) {
            done(QueueReply{QueueOutcome::Accepted, {}, 0, {}, {}});
        } else {
            done(tl::make_unexpected(unanswered(outcome)));
        }
    });
    if (!taken) {
        done(tl::make_unexpected(Unanswered{false, RetryDelay}));
    }
}

// A drain is committed before it is acknowledged, so that no later leader starts a task on the worker.
void ManagerCore::report(const WorkerReport &report, base::TimePoint now, const Done<void> &done)
{
    jobs_.onReport(report, now);
    if (report.leaving) {
        reportLeaving(report.worker, now, done);
        return;
    }
    if (!report.draining || state_.isDraining(report.worker)) {
        done({});
        return;
    }
    auto onResult = [done](ProposalOutcome outcome) {
        if (outcome == ProposalOutcome::Committed) {
            done({});
        } else {
            done(tl::make_unexpected(unanswered(outcome)));
        }
    };
    if (!proposeEntry(WorkerDrainingEntry{report.worker.id, report.worker.born}, std::move(onResult))) {
        done(tl::make_unexpected(Unanswered{false, RetryDelay}));
    }
}

// The worker ends once its report is acknowledged. Until its runs are stopped it has to go on, because they may be
// placed elsewhere only when they have certainly ended.
void ManagerCore::reportLeaving(const WorkerIdentity &worker, base::TimePoint now, const Done<void> &done)
{
    const std::optional<WorkerNumber> number = state_.findWorker(worker);
    auto answer = [this, number, done] {
        if (number && state_.workers().contains(*number)) {
            done(tl::make_unexpected(Unanswered{true, RetryDelay}));
        } else {
            done({});
        }
    };
    if (!number || !leaveReports_.add(*number, now + MaxLeaveWait, answer)) {
        answer();
    }
}

void ManagerCore::putConfiguration(Configuration configuration, const Done<PutConfigurationReply> &done)
{
    base::logInfo("configuration_offered")
        .with("version", configuration.version)
        .with("current_version", state_.configuration().version)
        .with("routes", configuration.routes.size());
    if (configuration.version <= state_.configuration().version) {
        done(PutConfigurationReply{state_.configuration().version});
        return;
    }
    auto onResult = [this, done](ProposalOutcome outcome) {
        if (outcome == ProposalOutcome::Committed) {
            done(PutConfigurationReply{state_.configuration().version});
        } else {
            done(tl::make_unexpected(unanswered(outcome)));
        }
    };
    if (!proposeEntry(ConfigurationEntry{std::move(configuration)}, std::move(onResult))) {
        done(tl::make_unexpected(Unanswered{false, RetryDelay}));
    }
}

void ManagerCore::answerReadsAtOnce(base::TimePoint now)
{
    now_ = now;
    readsWait_ = false;
    waitingReads_.answerAll();
}

// The log may never commit what was proposed, for example if too few managers are connected.
void ManagerCore::answerPendingRequests(base::TimePoint now)
{
    now_ = now;
    waitingReads_.answerAll();
    leaveReports_.answerAll();
    failPendingEntries();
    for (auto &[id, done] : std::exchange(proposals_, {})) {
        if (done) {
            done(ProposalOutcome::Unknown);
        }
    }
}

} // namespace yuccawheel::workflow
