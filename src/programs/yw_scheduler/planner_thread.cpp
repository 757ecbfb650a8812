#include "planner_thread.h"

#include "base/clock.h"
#include "base/log.h"

#include <chrono>

namespace yuccawheel::scheduler
{

namespace
{

constexpr std::size_t InputQueueCapacity = 16'384;
constexpr std::size_t OutputQueueCapacity = 1'024;
constexpr std::size_t MaxEventsPerRound = 256;
constexpr std::chrono::milliseconds TickInterval{100};
constexpr std::chrono::milliseconds FullQueueRetryInterval{1};

} // namespace

PlannerThread::PlannerThread(placement::PlannerOptions options, std::function<void()> wake)
    : planner_(options)
    , wake_(std::move(wake))
    , input_(InputQueueCapacity)
    , output_(OutputQueueCapacity)
    , thread_([this] { run(); })
{
}

PlannerThread::~PlannerThread()
{
    stopping_ = true;
    input_.close();
    thread_.join();
}

// Handles queued inputs in batches of bounded size and makes one round of decisions per batch.
void PlannerThread::run()
{
    while (!stopping_) {
        std::vector<PollId> processedPolls;
        auto input = input_.popFor(TickInterval);
        for (std::size_t handled = 0; input; ++handled) {
            handle(*input, processedPolls);
            input = handled < MaxEventsPerRound ? input_.tryPop() : std::nullopt;
        }
        decide(std::move(processedPolls));
    }
}

void PlannerThread::handle(PlannerInput &input, std::vector<PollId> &processedPolls)
{
    if (const auto *query = std::get_if<PlannerInput::Query>(&input.content)) {
        query->run(planner_);
        return;
    }
    const auto &event = std::get<placement::Event>(input.content);
    if (const auto *joined = std::get_if<placement::WorkerJoined>(&event)) {
        if (sessions_.size() <= joined->worker) {
            sessions_.resize(joined->worker + 1, 0);
        }
        sessions_[joined->worker] = input.session;
    }
    planner_.handle(event, base::BootClock::now());
    if (input.pollId) {
        processedPolls.push_back(*input.pollId);
    }
}

void PlannerThread::decide(std::vector<PollId> processedPolls)
{
    commands_.clear();
    planner_.decide(base::BootClock::now(), commands_);
    if (commands_.empty() && processedPolls.empty()) {
        return;
    }
    PlannerOutput output;
    output.processedPolls = std::move(processedPolls);
    output.commands.reserve(commands_.size());
    for (placement::Command &command : commands_) {
        const std::uint64_t session = sessionOf(command);
        output.commands.push_back({std::move(command), session});
    }
    while (!stopping_ && !output_.tryPushFrom(output)) {
        wake_();
        std::this_thread::sleep_for(FullQueueRetryInterval);
    }
    wake_();
}

std::uint64_t PlannerThread::sessionOf(const placement::Command &command) const
{
    const auto session = [this](placement::WorkerId worker) {
        return worker < sessions_.size() ? sessions_[worker] : std::uint64_t{0};
    };
    if (const auto *start = std::get_if<placement::StartTask>(&command)) {
        return session(start->worker);
    }
    if (const auto *stop = std::get_if<placement::StopTask>(&command)) {
        return session(stop->worker);
    }
    if (const auto *throttle = std::get_if<placement::ThrottleTask>(&command)) {
        return session(throttle->worker);
    }
    return 0;
}

} // namespace yuccawheel::scheduler
