#include "scheduler_service.h"

#include "base/log.h"
#include "daemon/json_api.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace yuccawheel::scheduler
{

namespace
{

constexpr std::chrono::milliseconds TickInterval{20};
constexpr std::chrono::milliseconds AcquireTimeout{3'000};
constexpr std::chrono::milliseconds RenewTimeout{3'000};
constexpr std::chrono::milliseconds ReleaseTimeout{1'000};
constexpr std::size_t MaxWorkerNameLength = 64;

bool isValidWorkerName(std::string_view name)
{
    return !name.empty() && name.size() <= MaxWorkerNameLength
        && std::all_of(name.begin(), name.end(), [](unsigned char c) {
               return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
           });
}

protocol::ZoneOwner makeOwnerRecord(const daemon::Context &context)
{
    protocol::ZoneOwner self;
    self.zone = context.self.zone;
    self.node = context.self.node;
    for (const settings::Peer &peer : context.settings.schedulers) {
        if (peer.node == self.node) {
            self.innerAddress = settings::toString(peer.address);
            self.workerAddress = peer.workerAddress ? settings::toString(*peer.workerAddress) : std::string();
        }
    }
    return self;
}

} // namespace

SchedulerService::SchedulerService(daemon::Context &context)
    : context_(context)
    , hub_(*this, context.settings.lease)
    , self_(makeOwnerRecord(context))
    , alive_(std::make_shared<SchedulerService *>(this))
    , timer_(context.io)
    , store_(context.io,
             daemon::addressesOf(context.settings.stores),
             context.members,
             [this](const protocol::StateUpdate &update) { onUpdate(update); })
    , configuration_(context,
                     [this](const protocol::Configuration &configuration) { applyConfiguration(configuration); })
{
    const settings::Listeners &listen = context.settings.listen;
    if (listen.inner) {
        protocol::Listener::Callbacks callbacks;
        callbacks.frame = [this](const protocol::ChannelPtr &channel, const protocol::Frame &frame) {
            handleInnerFrame(channel, frame);
        };
        inner_.emplace(context.io, daemon::toAsio(*listen.inner), context.members, std::move(callbacks));
    }
    if (listen.worker) {
        workerServer_.emplace(context.io,
                              daemon::toAsio(*listen.worker),
                              http::ServerOptions{},
                              [this](const http::Request &request, http::Responder respond) {
                                  handleWorker(request, std::move(respond));
                              });
        base::logInfo("listening").with("on", "worker").with("port", workerServer_->address().port());
    }
    onTick();
}

SchedulerService::~SchedulerService()
{
    *alive_ = nullptr;
    planner_.reset();
}

std::optional<std::string> SchedulerService::notReadyReason() const
{
    return configuration_.notReadyReason();
}

// The workers' tasks continue; the zone's next owner recovers them from the workers' full polls.
void SchedulerService::drain(std::function<void()> done)
{
    draining_ = true;
    if (!hub_.isOwner()) {
        done();
        return;
    }
    stepDown("draining");
    protocol::RenewZone release;
    release.zone = self_.zone;
    release.epoch = self_.epoch;
    release.release = true;
    store_.request(release, ReleaseTimeout, [done = std::move(done)](const auto &) { done(); });
}

std::size_t SchedulerService::inProgress() const
{
    return progress_.isSending() ? 1 : 0;
}

void SchedulerService::onTick()
{
    const base::TimePoint now = base::BootClock::now();
    if (hub_.isOwner()) {
        detachExpiredShares(now);
        flushBacklog();
        hub_.tick(now);
        checkRecovery();
        if (!progress_.isSending() && (now >= nextRenewal_ || progress_.hasPending())) {
            renew();
        }
    } else if (!acquiring_ && !draining_ && now >= nextRenewal_) {
        tryAcquire();
    }
    timer_.expires_after(TickInterval);
    timer_.async_wait([alive = alive_](const boost::system::error_code &error) {
        if (*alive != nullptr && !error) {
            (*alive)->onTick();
        }
    });
}

// Requests ownership of the zone. The store's leader refuses while another owner's lease is valid.
void SchedulerService::tryAcquire()
{
    nextRenewal_ = base::BootClock::now() + context_.settings.heartbeat;
    if (!store_.isUpToDate()) {
        return;
    }
    acquiring_ = true;
    acquireSentAt_ = base::BootClock::now();
    store_.request(protocol::AcquireZone{self_}, AcquireTimeout, [this, alive = alive_](auto answer) {
        if (*alive == nullptr) {
            return;
        }
        acquiring_ = false;
        if (!answer) {
            base::logDebug("zone_not_acquired").with("reason", answer.error().message);
            hub_.setRedirect(answer.error().redirect);
        } else if (answer->owner.node == self_.node && answer->owner.epoch > self_.epoch) {
            becomeOwner(answer->owner);
        }
    });
}

void SchedulerService::becomeOwner(const protocol::ZoneOwner &owner)
{
    self_ = owner;
    ownerSince_ = base::BootClock::now();
    lastAnsweredRenewalAt_ = acquireSentAt_;
    progress_ = {};
    recovering_ = true;
    hasDetachedShares_ = false;
    hub_.startOwning(owner.epoch, owner.node, registeredWorkers_, ownerSince_);
    planner_ = std::make_unique<PlannerThread>(placement::PlannerOptions{context_.settings.objective, owner.epoch},
                                               [this, alive = alive_] {
                                                   boost::asio::post(context_.io, [this, alive] {
                                                       if (*alive != nullptr) {
                                                           processPlannerOutput();
                                                       }
                                                   });
                                               });
    pushToPlanner(makeQuotasEvent());
    for (auto &[job, share] : shares_) {
        share.detached = false;
        assignToPlanner(share);
    }
    updateDetachDeadline();
    base::logInfo("zone_acquired")
        .with("zone", owner.zone)
        .with("epoch", owner.epoch)
        .with("shares", shares_.size())
        .with("registered_workers", registeredWorkers_.size());
}

void SchedulerService::stepDown(const std::string &reason)
{
    base::logWarning("zone_given_up").with("epoch", self_.epoch).with("reason", reason);
    hub_.stopOwning(knownOwner_ && knownOwner_->node != self_.node ? knownOwner_->workerAddress : std::string());
    planner_.reset();
    backlog_.clear();
    progress_ = {};
}

void SchedulerService::renew()
{
    renewalSentAt_ = base::BootClock::now();
    nextRenewal_ = renewalSentAt_ + context_.settings.heartbeat;
    protocol::RenewZone request;
    request.zone = self_.zone;
    request.epoch = self_.epoch;
    request.summary = hub_.summary();
    progress_.fillRequest(request);
    store_.request(request, RenewTimeout, [this, alive = alive_, epoch = self_.epoch](auto answer) {
        if (*alive != nullptr && hub_.isOwner() && epoch == self_.epoch) {
            onRenewed(std::move(answer));
        }
    });
}

// Without an answer, the zone may be partitioned from the store. The owner continues; once another owner has taken
// over, workers reject it by its lower epoch.
void SchedulerService::onRenewed(tl::expected<protocol::RenewZoneReply, protocol::RequestError> answer)
{
    if (!answer) {
        progress_.onFailed();
        if (answer.error().code == protocol::ErrorCode::NotOwner) {
            stepDown(answer.error().message);
        }
        return;
    }
    const ProgressReporter::CommittedBatch committed = progress_.onCommitted();
    lastAnsweredRenewalAt_ = renewalSentAt_;
    updateDetachDeadline();
    if (hasDetachedShares_) {
        // A new epoch and full polls from the workers recover the current state of the detached shares.
        stepDown("the store is reachable again after shares were detached");
        nextRenewal_ = base::BootClock::now();
        return;
    }
    for (const ProgressReporter::PendingStart &pending : committed.starts) {
        hub_.execute(pending.start, pending.session);
    }
    for (const auto &[worker, pollId] : committed.processedPolls) {
        hub_.acknowledge(pollId.worker, pollId.session, pollId.sequence);
    }
    for (const std::string &worker : committed.joined) {
        hub_.confirmRegistration(worker, base::BootClock::now());
    }
    hub_.sendCommands(base::BootClock::now());
}

// Recovery ends when each worker that an earlier owner may have used has joined, or its tasks' leases have certainly
// expired.
void SchedulerService::checkRecovery()
{
    if (!recovering_) {
        return;
    }
    const auto missing = hub_.missingWorkers();
    if (!missing.empty()) {
        std::chrono::milliseconds longest{0};
        for (const auto &[job, share] : shares_) {
            longest = std::max(longest, share.info.detachedFor);
        }
        if (base::BootClock::now() - ownerSince_ < leaseExpiryTimeout(longest)) {
            return;
        }
        for (const std::string &worker : hub_.expireMissingWorkers()) {
            progress_.addLeftWorker(worker);
        }
    }
    recovering_ = false;
    pushToPlanner(placement::RecoveryFinished{});
    base::logInfo("recovery_finished").with("epoch", self_.epoch).with("missing_workers", missing.size());
}

// State from the replicated log must reach the planner complete and in order, so it waits in the backlog while the
// planner's queue is full.
void SchedulerService::pushToPlanner(placement::Event event)
{
    if (planner_) {
        backlog_.push_back(PlannerInput{std::move(event), 0, std::nullopt});
        flushBacklog();
    }
}

// The store's leader moves a share to another zone once the share's tasks have certainly stopped here. Therefore this
// owner stops them when it has had no answer from the store for the share's `detachedFor`, even if its workers are
// reachable. Services are exempt: they are never moved, and a partitioned zone continues to run them.
void SchedulerService::detachExpiredShares(base::TimePoint now)
{
    if (now < detachDeadline_) {
        return;
    }
    for (auto &[job, share] : shares_) {
        const placement::JobSpec &spec = share.assignment.spec;
        if (share.detached || spec.kind == placement::JobKind::Service
            || now - lastAnsweredRenewalAt_ < spec.detachedFor) {
            continue;
        }
        share.detached = true;
        hasDetachedShares_ = true;
        hub_.stopTasksOf(job);
        pushToPlanner(placement::JobCancelled{job});
        base::logWarning("share_detached").with("job", job).with("name", spec.name);
    }
    updateDetachDeadline();
}

void SchedulerService::updateDetachDeadline()
{
    detachDeadline_ = base::TimePoint::max();
    for (const auto &[job, share] : shares_) {
        const placement::JobSpec &spec = share.assignment.spec;
        if (!share.detached && spec.kind != placement::JobKind::Service) {
            detachDeadline_ = std::min(detachDeadline_, lastAnsweredRenewalAt_ + spec.detachedFor);
        }
    }
}

void SchedulerService::flushBacklog()
{
    while (!backlog_.empty() && planner_->tryPushFrom(backlog_.front())) {
        backlog_.pop_front();
    }
}

bool SchedulerService::onEvent(placement::Event event, std::uint64_t session, std::optional<std::uint64_t> sequence)
{
    PlannerInput input{std::move(event), session, std::nullopt};
    if (sequence) {
        const auto &reported = std::get<placement::WorkerReported>(std::get<placement::Event>(input.content));
        input.pollId = PollId{reported.worker, session, *sequence};
    }
    return planner_ && backlog_.empty() && planner_->tryPush(std::move(input));
}

void SchedulerService::onNewWorker(const std::string &name)
{
    progress_.addJoinedWorker(name);
}

const JobInfo *SchedulerService::jobInfo(placement::JobId job) const
{
    const auto found = shares_.find(job);
    return found == shares_.end() || found->second.detached ? nullptr : &found->second.info;
}

void SchedulerService::processPlannerOutput()
{
    while (planner_) {
        const auto output = planner_->takeOutput();
        if (!output) {
            break;
        }
        for (const PlannerOutput::SessionCommand &item : output->commands) {
            std::visit([this, &item](const auto &command) { execute(command, item.session); }, item.command);
        }
        for (const PollId &pollId : output->processedPolls) {
            progress_.addProcessedPoll(pollId);
        }
    }
    hub_.sendCommands(base::BootClock::now());
}

void SchedulerService::handleWorker(const http::Request &request, http::Responder respond)
{
    constexpr std::string_view Prefix = "/v1/workers/";
    constexpr std::string_view Suffix = "/poll";
    const std::string_view path = request.path;
    if (path.size() <= Prefix.size() + Suffix.size() || path.substr(0, Prefix.size()) != Prefix
        || path.substr(path.size() - Suffix.size()) != Suffix) {
        respond(daemon::errorResponse(404, "not_found", "unknown path; expected /v1/workers/NAME/poll"));
        return;
    }
    if (request.method != "POST") {
        respond(daemon::errorResponse(405, "method_not_allowed", "the method must be POST"));
        return;
    }
    const std::string name(path.substr(Prefix.size(), path.size() - Prefix.size() - Suffix.size()));
    if (!isValidWorkerName(name)) {
        respond(daemon::errorResponse(
            400, "bad_request", "a worker name must have 1 to 64 letters, digits, '-', '_' or '.'"));
        return;
    }
    // After a pause of this process, a poll may be handled before the tick that would detach expired shares.
    const base::TimePoint now = base::BootClock::now();
    detachExpiredShares(now);
    hub_.poll(name, request, std::move(respond), now);
}

} // namespace yuccawheel::scheduler
