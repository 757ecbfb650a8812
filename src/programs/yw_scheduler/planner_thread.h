#pragma once

#include "base/bounded_queue.h"
#include "placement/planner.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace yuccawheel::scheduler
{

/// A worker's poll whose reports the planner has taken in.
struct PollMark {
    placement::WorkerId worker = 0;
    std::uint64_t session = 0;
    std::uint64_t sequence = 0;
};

/// Given to the planner's thread. `mark` comes back after everything that the event led to.
struct PlannerInput {
    /// A question that changes nothing; `ask` is called on the planner's thread.
    struct Question {
        std::function<void(const placement::Planner &)> ask;
    };
    std::variant<placement::Event, Question> what;
    std::uint64_t session = 0; ///< Of the worker, with WorkerJoined.
    std::optional<PollMark> mark;
};

/// One round of decisions.
struct PlannerOutput {
    struct Step {
        placement::Command command;
        std::uint64_t session = 0; ///< Of the worker that the command is for.
    };
    std::vector<Step> steps;
    std::vector<PollMark> marks;
};

/// Runs the planner on a thread of its own, between two bounded rings.
class PlannerThread
{
public:
    /// `wake` is called on the planner's thread whenever there is output to take.
    PlannerThread(placement::PlannerOptions options, std::function<void()> wake);
    ~PlannerThread();
    PlannerThread(const PlannerThread &) = delete;
    PlannerThread &operator=(const PlannerThread &) = delete;

    /// Returns false if the ring is full; the input was then not taken.
    bool tryPush(PlannerInput &&input)
    {
        return input_.tryPush(std::move(input));
    }
    /// Like `tryPush`, for an input that is tried again: it is moved from only if it was taken.
    bool tryPushFrom(PlannerInput &input)
    {
        return input_.tryPushFrom(input);
    }
    std::optional<PlannerOutput> takeOutput()
    {
        return output_.tryPop();
    }

private:
    void run();
    void handle(PlannerInput &input, std::vector<PollMark> &marks);
    void decide(std::vector<PollMark> marks);
    std::uint64_t sessionOf(const placement::Command &command) const;

    placement::Planner planner_;
    std::function<void()> wake_;
    base::BoundedQueue<PlannerInput> input_;
    base::BoundedQueue<PlannerOutput> output_;
    std::vector<std::uint64_t> sessions_; ///< By worker.
    std::vector<placement::Command> commands_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace yuccawheel::scheduler
