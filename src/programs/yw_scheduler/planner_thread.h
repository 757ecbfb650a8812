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

/// Identifies one poll of a worker.
struct PollId {
    placement::WorkerId worker = 0;
    std::uint64_t session = 0;
    std::uint64_t sequence = 0;
};

/// Input of the planner's thread.
struct PlannerInput {
    /// A read-only query; `run` is called on the planner's thread.
    struct Query {
        std::function<void(const placement::Planner &)> run;
    };
    std::variant<placement::Event, Query> content;
    std::uint64_t session = 0; ///< Session of the worker; only read with WorkerJoined.
    std::optional<PollId> pollId; ///< Poll that reported the event; returned in PlannerOutput::processedPolls.
};

/// Result of one round of decisions.
struct PlannerOutput {
    struct SessionCommand {
        placement::Command command;
        std::uint64_t session = 0; ///< Session of the worker that the command is for; 0 if it is for no worker.
    };
    std::vector<SessionCommand> commands;
    std::vector<PollId> processedPolls; ///< `commands` contains all results of the events that these polls reported.
};

/// Runs the planner on its own thread, with bounded queues for input and output.
class PlannerThread
{
public:
    /// `wake` is called on the planner's thread when output is available.
    PlannerThread(placement::PlannerOptions options, std::function<void()> wake);
    ~PlannerThread();
    PlannerThread(const PlannerThread &) = delete;
    PlannerThread &operator=(const PlannerThread &) = delete;

    /// Returns false if the queue is full; the input is then not queued.
    bool tryPush(PlannerInput &&input)
    {
        return input_.tryPush(std::move(input));
    }
    /// Like tryPush, but leaves `input` unchanged if the queue is full, so that the caller can retry.
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
    void handle(PlannerInput &input, std::vector<PollId> &processedPolls);
    void decide(std::vector<PollId> processedPolls);
    std::uint64_t sessionOf(const placement::Command &command) const;

    placement::Planner planner_;
    std::function<void()> wake_;
    base::BoundedQueue<PlannerInput> input_;
    base::BoundedQueue<PlannerOutput> output_;
    std::vector<std::uint64_t> sessions_; ///< Indexed by worker id.
    std::vector<placement::Command> commands_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace yuccawheel::scheduler
