#include "manager_service.h"

#include "base/duty_time.h"
#include "base/log.h"
#include "store/replication_codec.h"

#include <boost/asio/post.hpp>
#include <fmt/core.h>

#include <random>
#include <stdexcept>
#include <utility>

namespace yuccawheel::manager
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds TickInterval{50}; ///< Review interval of the job manager.
/// Gateways wait for 1 s and other managers for 0.7 s; what has waited here for this long would be answered too late.
constexpr milliseconds MaxRequestAge{600};
constexpr milliseconds MaxApplicationTurn{1};
constexpr std::size_t EntriesPerClockReading = 8;
constexpr milliseconds DispatchDelay{5}; ///< Batches events that arrive together into one scheduling pass.
constexpr milliseconds ForwardTimeout{700}; ///< Less than the 1 s after which callers try the next manager.
constexpr milliseconds RetryDelay{1'000}; ///< About the duration of an election.
constexpr milliseconds HandoverTimeout{1'500};
constexpr milliseconds HandoverPollInterval{5};
constexpr milliseconds TickReportInterval{1'000}; ///< Finest resolution of the metrics collection.
constexpr milliseconds DutyReportInterval{1'000};
constexpr milliseconds ElectionTimeout{700}; ///< 3.5 heartbeat intervals.
constexpr milliseconds ElectionJitter{500};
/// Longer than one or two missed heartbeats, and than the time after which a VM counts as disconnected.
constexpr milliseconds VoterReplacementDelay{3'000};
constexpr std::size_t MaxLearners = 4; ///< Spare managers and managers that lost their disk.
constexpr std::uint64_t DiskReserveBytes = 8U << 20U;
constexpr std::size_t SnapshotThresholdBytes = 4U << 20U; ///< Two snapshots and the log must fit on a small disk.

workflow::WallTime wallNow()
{
    return std::chrono::duration_cast<workflow::WallTime>(std::chrono::system_clock::now().time_since_epoch());
}

std::string describe(const coordination::StorageError &error)
{
    return std::string(coordination::toString(error.failure)) + ": " + error.detail;
}

std::uint32_t ownManagerNumber(const settings::ProcessSettings &settings)
{
    const auto number = daemon::managerNumber(settings.listen.inner->ip);
    if (!number || *number == 0) {
        throw std::runtime_error("listen.inner of a manager must be an IPv4 address of this VM");
    }
    return *number;
}

workflow::ManagerLimits managerLimits(const settings::ProcessSettings &settings)
{
    return {settings.workerLease, ElectionTimeout, settings.gangTimeout};
}

// All seeds derive the same initial state from the seed list, so any of them may start first. The cluster id is an
// FNV-1a hash of the seeds' numbers.
coordination::RecoveredState bootstrapState(std::uint32_t self, const std::vector<std::uint32_t> &seeds)
{
    constexpr std::uint32_t FirstGeneration = 1;
    coordination::ReplicaSet set;
    coordination::ClusterId cluster = 0xcbf29ce484222325ULL;
    for (const std::uint32_t seed : seeds) {
        set.members.push_back({{seed, FirstGeneration}, true});
        cluster = (cluster ^ seed) * 0x100000001b3ULL;
    }
    return coordination::ReplicatedLog::bootstrap(cluster == 0 ? 1 : cluster, {self, FirstGeneration}, set);
}

// Opens the log of a folder; with `first`, forms a cluster of that state before, unless the folder holds a log already.
coordination::StorageResult<OpenLog> openLog(coordination::FileSystem &files,
                                             const coordination::ReplicaSettings &settings,
                                             const std::optional<coordination::RecoveredState> &first)
{
    using coordination::StorageFailure;
    if (first) {
        coordination::FileLogStorage storage(files);
        const auto set = coordination::decodeReplicaSet(first->entries.front().data);
        const auto formed =
            coordination::Replica::formCluster(storage, first->hardState.cluster, first->hardState.self, *set);
        // The folder holds a log already after a restart.
        base::logInfo("log_formed").with("formed", formed.has_value()).with("seeds", set->members.size());
        if (!formed && formed.error().failure == StorageFailure::NoSpace) {
            return tl::unexpected(formed.error());
        }
    }
    OpenLog log;
    log.storage = std::make_unique<coordination::FileLogStorage>(files);
    auto started = coordination::Replica::start(settings, *log.storage, base::BootClock::now());
    if (!started) {
        return tl::unexpected(started.error());
    }
    log.replica = std::move(*started);
    return log;
}

} // namespace

ManagerService::ManagerService(daemon::Context &context)
    : context_(context)
    , alive_(std::make_shared<ManagerService *>(this))
    , self_(ownManagerNumber(context.settings))
    , managers_(context, self_, [](std::uint32_t, const protocol::Frame &) {})
    , core_(*this, managerLimits(context.settings))
    , workerCalls_(context.io, context.work, [&context] { return context.descriptors.forCalls(); })
    , log_(startLog())
    , timer_(context.io)
    , drainTimer_(context.io)
{
    protocol::Listener::Callbacks callbacks;
    callbacks.opened = [this](const protocol::ChannelPtr &channel) {
        onOpened(channel);
    };
    callbacks.frame = [this](const protocol::ChannelPtr &channel, protocol::Frame frame) {
        onFrame(channel, std::move(frame));
    };
    callbacks.closed = [this](const protocol::ChannelPtr &channel) {
        onClosed(channel);
    };
    listener_.emplace(
        context.io, daemon::toAsio(*context.settings.listen.inner), context.members, std::move(callbacks));
    workflow::ControlHandler &handler = *this;
    control_.emplace(context.io,
                     daemon::toAsio(*context.settings.listen.control),
                     context.work,
                     handler,
                     context.descriptors.forServers());
    armTimer(TickInterval);
}

ManagerService::~ManagerService()
{
    *alive_ = nullptr;
    log_.reset();
    listener_.reset();
}

std::unique_ptr<LogThread> ManagerService::startLog()
{
    const settings::ProcessSettings &settings = context_.settings;
    auto files = coordination::openFolder(settings.dataDir);
    if (!files) {
        throw std::runtime_error(describe(files.error()));
    }
    const std::vector<std::uint32_t> seeds = managers_.seeds();
    const bool isSeed = std::find(seeds.begin(), seeds.end(), self_) != seeds.end();
    coordination::ReplicaSettings replica;
    std::random_device device;
    replica.log.self = {self_, std::uniform_int_distribution<std::uint32_t>(2)(device)};
    replica.log.seed = (std::uint64_t{device()} << 32U) | device();
    replica.log.nodes = seeds;
    replica.log.openMembership = true;
    replica.log.leaderLease = true;
    replica.log.maxVoters = static_cast<std::size_t>(2 * settings.toleratedLosses + 1);
    replica.log.maxLearners = MaxLearners;
    replica.log.replaceSilentAfter = VoterReplacementDelay;
    replica.log.electionTimeout = ElectionTimeout;
    replica.log.electionJitter = ElectionJitter;
    replica.diskReserveBytes = DiskReserveBytes;
    replica.snapshotThresholdBytes = SnapshotThresholdBytes;
    const auto formed = settings.newCluster && isSeed ? std::optional(bootstrapState(self_, seeds)) : std::nullopt;
    auto open = [files = std::shared_ptr<coordination::FileSystem>(std::move(*files)), replica, formed] {
        return openLog(*files, replica, formed);
    };
    const auto onOutput = [this, alive = alive_] {
        boost::asio::post(context_.io, [this, alive] {
            if (*alive != nullptr) {
                handlePendingOutput();
            }
        });
    };
    const auto onFailure = [this](const std::string &reason) {
        base::logError("disk_failed").with("reason", reason);
        boost::asio::post(context_.io, [reason] { throw std::runtime_error(reason); });
    };
    return std::make_unique<LogThread>(std::move(open), onOutput, onFailure);
}

std::optional<std::string> ManagerService::notReadyReason() const
{
    return core_.status().leader.node != 0 ? std::nullopt : std::optional<std::string>("no leader is known");
}

std::size_t ManagerService::inProgress() const
{
    return inProgress_;
}

void ManagerService::reload(const settings::ProcessSettings &settings)
{
    managers_.setSeeds(settings.seeds);
    log_->tryPush(LogInput{LogInput::SetNodes{managers_.seeds()}});
}

// Hands leadership over first: a leader that simply exits would leave the cluster without a leader for an election
// timeout.
void ManagerService::drain(std::function<void()> done)
{
    core_.answerReadsAtOnce(base::BootClock::now());
    drainDeadline_ = std::chrono::steady_clock::now() + HandoverTimeout;
    log_->tryPush(LogInput{LogInput::HandOverLeadership{}});
    waitForHandover(std::move(done));
}

void ManagerService::waitForHandover(std::function<void()> done)
{
    const bool leading = core_.status().role == coordination::Role::Leader;
    if (!leading || std::chrono::steady_clock::now() >= drainDeadline_) {
        done();
        return;
    }
    drainTimer_.expires_after(HandoverPollInterval);
    drainTimer_.async_wait([this, done = std::move(done)](const boost::system::error_code &error) {
        if (!error) {
            waitForHandover(done);
        }
    });
}

void ManagerService::answerPendingRequests()
{
    core_.answerPendingRequests(base::BootClock::now());
}

void ManagerService::armTimer(milliseconds delay)
{
    const auto due = std::chrono::steady_clock::now() + delay;
    // A timer that is due and waits for its turn must not be put off by each further event.
    const bool armed = timerDue_ != std::chrono::steady_clock::time_point{};
    if (armed && timerDue_ <= due) {
        return;
    }
    timerDue_ = due;
    timer_.expires_at(due);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            onTimer();
        }
    });
}

void ManagerService::onTimer()
{
    const base::DutyScope duty(base::Duty::Decisions);
    longestDelay_ = std::max(longestDelay_, std::chrono::steady_clock::now() - std::exchange(timerDue_, {}));
    core_.review(base::BootClock::now(), wallNow());
    const base::TimePoint begin = base::BootClock::now();
    workerCalls_.expectWorkers(core_.jobs().workers().size());
    core_.jobs().tick(begin, wallNow());
    const base::TimePoint end = base::BootClock::now();
    recordTick(begin, end);
    reportDutyTime(end);
    core_.jobs().recordTickTime(end - begin, end);
    const auto wait = std::chrono::ceil<milliseconds>(core_.jobs().nextTick(end) - end);
    armTimer(std::clamp(wait, DispatchDelay, TickInterval));
}

// Logs how much of the leader's time its decisions take. Calls, answers and reports wait while a decision is made.
void ManagerService::recordTick(base::TimePoint begin, base::TimePoint end)
{
    if (!core_.jobs().isLeading()) {
        tickTimes_ = {};
        return;
    }
    ++tickTimes_.ticks;
    tickTimes_.total += end - begin;
    tickTimes_.longest = std::max(tickTimes_.longest, end - begin);
    if (tickTimes_.since == base::TimePoint{}) {
        tickTimes_.since = begin;
    }
    if (end - tickTimes_.since < TickReportInterval) {
        return;
    }
    const auto toMicroseconds = [](base::BootClock::duration time) {
        return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
    };
    base::logInfo("decision_time")
        .with("ticks", tickTimes_.ticks)
        .with("total_us", toMicroseconds(tickTimes_.total))
        .with("longest_us", toMicroseconds(tickTimes_.longest));
    tickTimes_ = {};
    tickTimes_.since = end;
}

// Logs what the threads of this process spent their time on, and its processor time.
void ManagerService::reportDutyTime(base::TimePoint now)
{
    if (now < nextDutyReport_) {
        return;
    }
    nextDutyReport_ = now + DutyReportInterval;
    const DutyTimes times{base::processorTime(), base::timeByDuty()};
    base::logInfo("connections")
        .with("workers", workerCalls_.openConnections())
        .with("workers_limit", context_.descriptors.forCalls())
        .with("servers_limit", context_.descriptors.forServers())
        .with("channels", channels_.size())
        .with("max_open_files", context_.descriptors.limit());
    base::LogLine line = base::logInfo("duty_time");
    line.with("processor_us", (times.processor - reportedTimes_.processor).count());
    for (std::size_t duty = 0; duty < base::DutyCount; ++duty) {
        line.with(fmt::format("{}_us", base::toString(static_cast<base::Duty>(duty))),
                  (times.byDuty[duty] - reportedTimes_.byDuty[duty]).count());
    }
    // The timer waits for its turn like the message of any other process.
    line.with("longest_delay_us", std::chrono::duration_cast<std::chrono::microseconds>(longestDelay_).count());
    longestDelay_ = {};
    reportedTimes_ = times;
    const RequestCounts counts = std::exchange(requestCounts_, {});
    base::logInfo("requests_handled")
        .with("reports", counts.reports)
        .with("forwarded_reports", counts.forwardedReports)
        .with("queue_requests", counts.queueRequests)
        .with("configuration_requests", counts.configurationRequests)
        .with("shed", counts.shed)
        .with("forwards", counts.forwards)
        .with("failed_forwards", counts.failedForwards);
}

void ManagerService::handlePendingOutput()
{
    const base::DutyScope duty(base::Duty::State);
    while (auto output = log_->tryPopOutput()) {
        sendMessages(output->messages);
        core_.push(std::move(output->log));
    }
    queueApplication();
}

void ManagerService::sendMessages(const std::vector<coordination::Message> &messages)
{
    for (const coordination::Message &message : messages) {
        const base::DutyScope duty(base::Duty::Replication);
        if (message.to.node != self_) {
            managers_.peer(message.to.node)
                .notifyFrame({protocol::MessageType::Replication,
                              protocol::FrameKind::Notice,
                              0,
                              store::encodeReplication(message)});
        }
    }
}

void ManagerService::queueApplication()
{
    if (!core_.hasUnapplied() || std::exchange(isApplicationQueued_, true)) {
        return;
    }
    context_.work.post(base::WorkKind::State, [this, alive = alive_] {
        if (*alive != nullptr) {
            isApplicationQueued_ = false;
            applyOutputs();
            queueApplication();
        }
    });
}

void ManagerService::applyOutputs()
{
    const base::DutyScope duty(base::Duty::State);
    const auto end = std::chrono::steady_clock::now() + MaxApplicationTurn;
    do {
        if (core_.apply(EntriesPerClockReading, base::BootClock::now(), wallNow())) {
            armTimer(DispatchDelay);
        }
    } while (core_.hasUnapplied() && std::chrono::steady_clock::now() < end);
}

void ManagerService::onStatus(const workflow::LogStatus &before, const workflow::LogStatus &status)
{
    if (status.role != before.role) {
        base::logInfo("log_role")
            .with("role", coordination::toString(status.role))
            .with("before", coordination::toString(before.role))
            .with("term", status.term)
            .with("leader", status.leader.node == 0 ? "none" : daemon::managerIp(status.leader.node));
    }
    if (status.leader != before.leader || status.term != before.term || status.members != before.members) {
        broadcastTopology();
    }
}

bool ManagerService::pushProposal(std::uint64_t id, std::string data)
{
    return log_->tryPush(LogInput{LogInput::Proposal{id, std::move(data)}});
}

void ManagerService::onLeading()
{
    for (const auto &[number, channel] : channels_) {
        if (channel->peer().role == protocol::Role::Gateway) {
            core_.jobs().addGateway(number);
        }
    }
    armTimer(DispatchDelay);
}

void ManagerService::start(workflow::WorkerNumber worker,
                           const workflow::WorkerIdentity &identity,
                           const workflow::StartOrder &order)
{
    workerCalls_.start(
        identity, order, [this, worker, task = order.task, run = order.run](const workflow::OrderAnswer &answer) {
            core_.jobs().onStartAnswer(worker, task, run, answer, base::BootClock::now());
        });
}

void ManagerService::stop(workflow::WorkerNumber worker,
                          const workflow::WorkerIdentity &identity,
                          const workflow::StopOrder &order)
{
    workerCalls_.stop(
        identity, order, [this, worker, task = order.task, run = order.run](const workflow::OrderAnswer &answer) {
            core_.jobs().onStopAnswer(worker, task, run, answer, base::BootClock::now());
        });
}

void ManagerService::poll(workflow::WorkerNumber worker,
                          const workflow::WorkerIdentity &identity,
                          const workflow::PollOrder &order)
{
    workerCalls_.poll(identity, order, [this, worker](const workflow::PollAnswer &answer) {
        core_.jobs().onPollAnswer(worker, answer, base::BootClock::now());
    });
}

void ManagerService::forget(const workflow::WorkerIdentity &identity)
{
    workerCalls_.forget(identity);
}

void ManagerService::queryEligibility(const workflow::EligibilityQuery &query)
{
    const auto gateway = channels_.find(query.gateway);
    const bool sent = gateway != channels_.end()
        && gateway->second->notify(workflow::AskEligibility{query.number, query.step, query.workers, query.timeout});
    if (!sent) {
        boost::asio::post(context_.io, [this, alive = alive_, number = query.number] {
            if (*alive != nullptr) {
                core_.jobs().onEligibilityAnswer(number, std::nullopt, base::BootClock::now());
            }
        });
    }
}

void ManagerService::report(const workflow::WorkerReport &report,
                            std::function<void(tl::expected<workflow::ReportWorkerReply, workflow::Unanswered>)> done)
{
    const base::TimePoint now = base::BootClock::now();
    ++requestCounts_.reports;
    if (core_.isLeader(now)) {
        core_.report(
            report, now, [this, done = std::move(done)](const tl::expected<void, workflow::Unanswered> &result) {
                if (result) {
                    done(workflow::ReportWorkerReply{settings::toString(*context_.settings.listen.control)});
                } else {
                    done(tl::make_unexpected(result.error()));
                }
            });
        armTimer(DispatchDelay);
        return;
    }
    const bool needsConfirmation = report.draining || report.leaving;
    if (needsConfirmation || managers_.leader() == nullptr) {
        forwardToLeader("report", workflow::ReportWorker{report}, std::move(done));
        return;
    }
    // Load pattern: many workers report while the leader is busy. If they waited for its reply here, each of them would
    // send its report to all managers in turn, and the leader would get it as many times.
    forwardToLeader("report", workflow::ReportWorker{report}, [](const auto &) {});
    const settings::Endpoint leader{daemon::managerIp(managers_.leaderNumber()),
                                    context_.settings.listen.control->port};
    done(workflow::ReportWorkerReply{settings::toString(leader)});
}

void ManagerService::putConfiguration(
    workflow::Configuration configuration,
    std::function<void(tl::expected<workflow::PutConfigurationReply, workflow::Unanswered>)> done)
{
    ++requestCounts_.configurationRequests;
    done = logConfigurationReply("put", std::move(done));
    if (!core_.isLeader(base::BootClock::now())) {
        forwardToLeader("put", workflow::PutConfiguration{std::move(configuration)}, std::move(done));
        return;
    }
    core_.putConfiguration(std::move(configuration), done);
}

void ManagerService::getConfiguration(
    std::function<void(tl::expected<workflow::GetConfigurationReply, workflow::Unanswered>)> done)
{
    ++requestCounts_.configurationRequests;
    done = logConfigurationReply("get", std::move(done));
    if (core_.isLeader(base::BootClock::now())) {
        const workflow::Configuration &configuration = core_.state().configuration();
        done(workflow::GetConfigurationReply{configuration.version, configuration.text});
        return;
    }
    forwardToLeader("get", workflow::GetConfiguration{}, std::move(done));
}

template <typename Reply>
std::function<void(tl::expected<Reply, workflow::Unanswered>)>
ManagerService::logConfigurationReply(std::string_view request,
                                      std::function<void(tl::expected<Reply, workflow::Unanswered>)> done)
{
    return [this, request, done = std::move(done), begin = base::BootClock::now()](
               const tl::expected<Reply, workflow::Unanswered> &reply) {
        const auto taken = std::chrono::duration_cast<milliseconds>(base::BootClock::now() - begin);
        base::logInfo("configuration_reply")
            .with("request", request)
            .with("answered", reply.has_value())
            .with("version", reply ? reply->version : 0)
            .with("after_ms", taken.count())
            .with("leading", core_.jobs().isLeading())
            .with("leader", core_.status().leader.node == 0 ? "none" : daemon::managerIp(core_.status().leader.node));
        done(reply);
    };
}

template <typename Request>
void ManagerService::forwardToLeader(
    std::string_view name,
    const Request &request,
    std::function<void(tl::expected<typename Request::Reply, workflow::Unanswered>)> done)
{
    protocol::Peer *const leader = core_.status().leader.node == self_ ? nullptr : managers_.leader();
    if (leader == nullptr) {
        done(tl::make_unexpected(workflow::Unanswered{false, RetryDelay}));
        return;
    }
    ++requestCounts_.forwards;
    leader->request(
        request,
        ForwardTimeout,
        [this, name, done = std::move(done)](tl::expected<typename Request::Reply, protocol::RequestError> answer) {
            if (answer) {
                done(std::move(*answer));
                return;
            }
            ++requestCounts_.failedForwards;
            base::logInfo("forward_to_leader_failed")
                .with("request", name)
                .with("reason", protocol::toString(answer.error().code));
            const bool mayTakeEffect = answer.error().verdict != base::Verdict::NotRun;
            done(tl::make_unexpected(workflow::Unanswered{mayTakeEffect, RetryDelay}));
        });
}

void ManagerService::onOpened(const protocol::ChannelPtr &channel)
{
    const std::uint64_t number = nextChannel_++;
    channelNumbers_[channel.get()] = number;
    channels_[number] = channel;
    context_.descriptors.setChannels(channels_.size());
    if (channel->peer().role == protocol::Role::Gateway) {
        core_.jobs().addGateway(number);
    }
    boost::asio::post(context_.io, [this, alive = alive_, channel] {
        if (*alive != nullptr) {
            sendTopology(channel);
        }
    });
}

void ManagerService::onClosed(const protocol::ChannelPtr &channel)
{
    const auto found = channelNumbers_.find(channel.get());
    if (found != channelNumbers_.end()) {
        core_.jobs().removeGateway(found->second, base::BootClock::now());
        channels_.erase(found->second);
        channelNumbers_.erase(found);
        context_.descriptors.setChannels(channels_.size());
    }
}

void ManagerService::sendTopology(const protocol::ChannelPtr &channel)
{
    channel->notify(workflow::Topology{core_.status().leader.node, core_.status().term, core_.status().members});
}

void ManagerService::broadcastTopology()
{
    const workflow::Topology topology{core_.status().leader.node, core_.status().term, core_.status().members};
    managers_.updateTopology(topology);
    for (const auto &[number, channel] : channels_) {
        channel->notify(topology);
    }
}

template <typename Reply>
std::function<void(tl::expected<Reply, workflow::Unanswered>)>
ManagerService::makeReplyCallback(const protocol::ChannelPtr &channel, std::uint64_t correlation)
{
    ++inProgress_;
    return [this, channel, correlation](const tl::expected<Reply, workflow::Unanswered> &reply) {
        --inProgress_;
        if (reply) {
            channel->reply(correlation, *reply);
        } else {
            replyNotLeader(
                channel, correlation, reply.error().mayTakeEffect ? base::Verdict::MayHaveRun : base::Verdict::NotRun);
        }
    };
}

void ManagerService::replyNotLeader(const protocol::ChannelPtr &channel,
                                    std::uint64_t correlation,
                                    base::Verdict verdict)
{
    channel->reply(
        correlation,
        protocol::RequestError{protocol::ErrorCode::NotLeader, verdict, "this manager is not the leader", {}});
}

// Only the leader answers requests. A manager that does not lead refuses a forwarded request rather than forwarding it
// again, so that requests can't loop.
//
// Messages of the log, and requests of operators, are handled at once. All others wait for their turn.
void ManagerService::onFrame(const protocol::ChannelPtr &channel, protocol::Frame frame)
{
    using protocol::MessageType;
    if (frame.type == MessageType::Replication) {
        if (auto message = store::decodeReplication(frame.payload)) {
            log_->tryPush(LogInput{std::move(*message)});
        }
        return;
    }
    if (frame.type == MessageType::EligibilityAnswer) {
        context_.work.post(base::WorkKind::Answers, [this, alive = alive_, frame = std::move(frame)] {
            const base::DutyScope duty(base::Duty::Requests);
            if (*alive != nullptr) {
                onEligibilityAnswer(frame);
            }
        });
        return;
    }
    if (frame.kind != protocol::FrameKind::Request) {
        return;
    }
    if (frame.type == MessageType::QueueRequest) {
        queueRequest(base::WorkKind::Requests, channel, std::move(frame));
    } else if (frame.type == MessageType::ReportWorker) {
        queueRequest(base::WorkKind::Reports, channel, std::move(frame));
    } else {
        onRequest(channel, frame);
    }
}

void ManagerService::queueRequest(base::WorkKind kind, const protocol::ChannelPtr &channel, protocol::Frame frame)
{
    const auto shed = [this](const protocol::ChannelPtr &sender, std::uint64_t correlation) {
        ++requestCounts_.shed;
        sender->reply(correlation,
                      protocol::RequestError{
                          protocol::ErrorCode::Overloaded, base::Verdict::NotRun, "too many requests wait", {}});
    };
    const std::uint64_t correlation = frame.correlation;
    const auto receivedAt = std::chrono::steady_clock::now();
    const bool queued =
        context_.work.post(kind, [this, alive = alive_, channel, frame = std::move(frame), receivedAt, shed] {
            const base::DutyScope duty(base::Duty::Requests);
            if (*alive == nullptr) {
                return;
            }
            --inProgress_;
            if (std::chrono::steady_clock::now() - receivedAt > MaxRequestAge) {
                shed(channel, frame.correlation);
            } else {
                onRequest(channel, frame);
            }
        });
    if (queued) {
        ++inProgress_;
    } else {
        shed(channel, correlation);
    }
}

void ManagerService::onRequest(const protocol::ChannelPtr &channel, const protocol::Frame &frame)
{
    using protocol::MessageType;
    if (refusing_ || !core_.isLeader(base::BootClock::now())) {
        replyNotLeader(channel, frame.correlation, base::Verdict::NotRun);
        return;
    }
    if (frame.type == MessageType::QueueRequest) {
        ++requestCounts_.queueRequests;
        onQueueRequest(channel, frame);
    } else if (frame.type == MessageType::ReportWorker) {
        ++requestCounts_.forwardedReports;
        if (const auto message = protocol::decode<workflow::ReportWorker>(frame.payload)) {
            report(message->report, makeReplyCallback<workflow::ReportWorkerReply>(channel, frame.correlation));
        }
    } else if (frame.type == MessageType::PutConfiguration) {
        if (auto message = protocol::decode<workflow::PutConfiguration>(frame.payload)) {
            putConfiguration(std::move(message->configuration),
                             makeReplyCallback<workflow::PutConfigurationReply>(channel, frame.correlation));
        }
    } else if (frame.type == MessageType::GetConfiguration) {
        getConfiguration(makeReplyCallback<workflow::GetConfigurationReply>(channel, frame.correlation));
    }
}

void ManagerService::onQueueRequest(const protocol::ChannelPtr &channel, const protocol::Frame &frame)
{
    using workflow::QueueOutcome;
    auto request = protocol::decode<workflow::QueueRequest>(frame.payload);
    if (!request) {
        base::logWarning("queue_request_unreadable").with("reason", request.error().message);
        channel->reply(frame.correlation,
                       workflow::QueueReply{QueueOutcome::Malformed, {}, 0, {}, request.error().message});
        return;
    }
    core_.handle(std::move(*request),
                 base::BootClock::now(),
                 wallNow(),
                 makeReplyCallback<workflow::QueueReply>(channel, frame.correlation));
}

void ManagerService::onEligibilityAnswer(const protocol::Frame &frame)
{
    const auto answer = protocol::decode<workflow::EligibilityAnswer>(frame.payload);
    if (!answer) {
        base::logWarning("eligibility_answer_unreadable").with("reason", answer.error().message);
        return;
    }
    core_.jobs().onEligibilityAnswer(answer->query,
                                     answer->answered ? workflow::EligibilityRows(answer->rows) : std::nullopt,
                                     base::BootClock::now());
    armTimer(DispatchDelay);
}

} // namespace yuccawheel::manager
