#include "log_thread.h"

#include "base/duty_time.h"
#include "base/log.h"

#include <utility>

namespace yuccawheel::manager
{

namespace
{

constexpr std::size_t InputQueueCapacity = 8'192;
constexpr std::size_t OutputQueueCapacity = 1'024;
constexpr std::size_t MaxInputsPerFlush = 512; ///< Group commit: one disk sync covers them all.
constexpr std::chrono::milliseconds TickInterval{50}; ///< A quarter of the heartbeat interval.
constexpr std::chrono::milliseconds FullQueueWait{1};
constexpr std::chrono::milliseconds OpenRetryInterval{200}; ///< While the disk is full.

} // namespace

LogThread::LogThread(Open open, std::function<void()> onOutput, std::function<void(std::string)> onFailure)
    : open_(std::move(open))
    , onOutput_(std::move(onOutput))
    , onFailure_(std::move(onFailure))
    , input_(InputQueueCapacity)
    , output_(OutputQueueCapacity)
    , thread_([this] { run(); })
{
}

LogThread::~LogThread()
{
    stopping_ = true;
    input_.close();
    thread_.join();
}

void LogThread::run()
{
    if (!openLog()) {
        return;
    }
    while (!stopping_) {
        auto input = waitForInput();
        const base::DutyScope duty(base::Duty::Disk);
        for (std::size_t taken = 0; input; ++taken) {
            handle(*input);
            input = taken < MaxInputsPerFlush ? input_.tryPop() : std::nullopt;
        }
        log_.replica->tick(base::BootClock::now());
        if (!flush() || !saveRequestedState()) {
            return;
        }
    }
}

// Opening rewrites the end of the log, which needs space. Other replicas send again what is dropped here.
bool LogThread::openLog()
{
    while (!stopping_) {
        auto opened = open_();
        const bool full = !opened && opened.error().failure == coordination::StorageFailure::NoSpace;
        diskFullLog_.update(full);
        if (opened) {
            log_ = std::move(*opened);
            return true;
        }
        if (!full) {
            onFailure_(std::string(coordination::toString(opened.error().failure)) + ": " + opened.error().detail);
            return false;
        }
        const base::TimePoint retryAt = base::BootClock::now() + OpenRetryInterval;
        while (!stopping_ && base::BootClock::now() < retryAt) {
            waitForInput();
        }
    }
    return false;
}

std::optional<LogInput> LogThread::waitForInput()
{
    const base::DutyScope duty(base::Duty::Waiting);
    return input_.popFor(TickInterval);
}

void LogThread::handle(LogInput &input)
{
    const base::TimePoint now = base::BootClock::now();
    if (const auto *message = std::get_if<coordination::Message>(&input.payload)) {
        log_.replica->receive(*message, now);
    } else if (auto *proposal = std::get_if<LogInput::Proposal>(&input.payload)) {
        const auto position = log_.replica->propose(std::move(proposal->data));
        if (!position) {
            base::logInfo("proposal_refused").with("failure", static_cast<int>(position.error().failure));
            if (position.error().failure == coordination::ProposeFailure::DiskFull) {
                log_.replica->handOverLeadership(now); // Another replica's disk may have free space.
            }
        }
        results_.push_back({proposal->id, position ? std::optional(*position) : std::nullopt});
    } else if (const auto *nodes = std::get_if<LogInput::SetNodes>(&input.payload)) {
        log_.replica->setNodes(nodes->nodes);
    } else {
        log_.replica->handOverLeadership(now);
    }
}

// With a full disk the replica neither leads nor follows, whatever its role was.
workflow::LogStatus LogThread::status() const
{
    const coordination::ReplicatedLog &log = log_.replica->log();
    workflow::LogStatus status{log.role(), log.term(), log.leader(), log.leaseEnd(), {}};
    if (log_.replica->isDiskFull()) {
        status.role = coordination::Role::Follower;
        status.leader = {};
        status.leaseEnd.reset();
    }
    for (const coordination::Member &member : log.replicaSet().members) {
        status.members.push_back(member.id.node);
    }
    return status;
}

bool LogThread::flush()
{
    bool more = true;
    while (more && !stopping_) {
        auto result = log_.replica->flush(base::BootClock::now());
        if (!result) {
            onFailure_(std::string(coordination::toString(result.error().failure)) + ": " + result.error().detail);
            return false;
        }
        diskFullLog_.update(log_.replica->isDiskFull());
        more = result->hasMore;
        LogThreadOutput published;
        published.messages = std::move(result->messages);
        workflow::LogOutput &output = published.log;
        output.results = std::exchange(results_, {});
        output.snapshot = std::move(result->snapshot);
        output.committed = std::move(result->committed);
        output.status = status();
        if (log_.replica->isSnapshotDue() && !output.committed.empty() && !requestedState_.valid()) {
            requestedIndex_ = output.committed.back().index;
            const auto state = std::make_shared<std::promise<std::string>>();
            requestedState_ = state->get_future();
            output.takeState = [state](std::string bytes) {
                state->set_value(std::move(bytes));
            };
        }
        const bool changed = !output.results.empty() || !published.messages.empty() || output.snapshot
            || !output.committed.empty() || output.status.role != published_.role
            || output.status.leader != published_.leader || output.status.term != published_.term
            || output.status.leaseEnd != published_.leaseEnd || output.status.members != published_.members;
        if (changed) {
            published_ = output.status;
            if (!publish(std::move(published))) {
                return true;
            }
        }
    }
    return true;
}

// The application may be busy, so heartbeats, votes and entries go on meanwhile.
bool LogThread::saveRequestedState()
{
    using namespace std::chrono_literals;
    if (!requestedState_.valid() || requestedState_.wait_for(0s) != std::future_status::ready) {
        return true;
    }
    const std::string state = requestedState_.get();
    if (log_.replica->isDiskFull()) {
        return true; // The snapshot remains due.
    }
    const auto saved = log_.replica->saveSnapshot(requestedIndex_, state);
    if (!saved) {
        onFailure_("cannot save a snapshot: " + saved.error().detail);
    }
    return saved.has_value();
}

bool LogThread::publish(LogThreadOutput output)
{
    while (!output_.tryPushFrom(output)) {
        if (stopping_) {
            return false;
        }
        onOutput_();
        std::this_thread::sleep_for(FullQueueWait);
    }
    onOutput_();
    return true;
}

} // namespace yuccawheel::manager
