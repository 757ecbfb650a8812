#include "planner_thread.h"

#include "base/clock.h"
#include "base/log.h"

#include <chrono>

namespace yuccawheel::scheduler
{

namespace
{

constexpr std::size_t InputRingItems = 16'384;
constexpr std::size_t OutputRingItems = 1'024;
constexpr std::size_t MaxEventsPerRound = 256;
constexpr std::chrono::milliseconds TickInterval{100};
constexpr std::chrono::milliseconds FullRingWait{1};

} // namespace

PlannerThread::PlannerThread(placement::PlannerOptions options, std::function<void()> wake)
    : planner_(options)
    , wake_(std::move(wake))
    , input_(InputRingItems)
    , output_(OutputRingItems)
    , thread_([this] { run(); })
{
}

PlannerThread::~PlannerThread()
{
    stopping_ = true;
    input_.close();
    thread_.join();
}

// Takes what has arrived, up to a bound, and decides once for all of it.
void PlannerThread::run()
{
    while (!stopping_) {
        std::vector<PollMark> marks;
        auto input = input_.popFor(TickInterval);
        for (std::size_t taken = 0; input; ++taken) {
            handle(*input, marks);
            input = taken < MaxEventsPerRound ? input_.tryPop() : std::nullopt;
        }
        decide(std::move(marks));
    }
}

void PlannerThread::handle(PlannerInput &input, std::vector<PollMark> &marks)
{
    if (const auto *question = std::get_if<PlannerInput::Question>(&input.what)) {
        question->ask(planner_);
        return;
    }
    const auto &event = std::get<placement::Event>(input.what);
    if (const auto *joined = std::get_if<placement::WorkerJoined>(&event)) {
        if (sessions_.size() <= joined->worker) {
            sessions_.resize(joined->worker + 1, 0);
        }
        sessions_[joined->worker] = input.session;
    }
    planner_.handle(event, base::BootClock::now());
    if (input.mark) {
        marks.push_back(*input.mark);
    }
}

void PlannerThread::decide(std::vector<PollMark> marks)
{
    commands_.clear();
    planner_.decide(base::BootClock::now(), commands_);
    if (commands_.empty() && marks.empty()) {
        return;
    }
    PlannerOutput output;
    output.marks = std::move(marks);
    output.steps.reserve(commands_.size());
    for (placement::Command &command : commands_) {
        const std::uint64_t session = sessionOf(command);
        output.steps.push_back({std::move(command), session});
    }
    while (!stopping_ && !output_.tryPushFrom(output)) {
        wake_();
        std::this_thread::sleep_for(FullRingWait);
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
