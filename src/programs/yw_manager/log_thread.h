#pragma once

#include "base/bounded_queue.h"
#include "base/clock.h"
#include "coordination/file_log_storage.h"
#include "coordination/replica.h"

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace yuccawheel::manager
{

/// Given to the log's thread.
struct LogInput {
    struct Proposal {
        std::uint64_t number = 0; ///< Comes back with its fate.
        std::string data;
    };
    struct HandOver {
    };
    struct Nodes {
        std::vector<std::uint32_t> nodes; ///< To ask for admission.
    };
    std::variant<coordination::Message, Proposal, HandOver, Nodes> what;
};

/// Where a proposal went, or that it was not taken.
struct ProposalFate {
    std::uint64_t number = 0;
    std::optional<coordination::Position> position;
};

/// What the replica is to the others.
struct LogStatus {
    coordination::Role role = coordination::Role::Joining;
    coordination::Term term = 0;
    coordination::ReplicaId leader;
    std::optional<base::TimePoint> leaseEnd; ///< Of a leader: nobody else leads before.
    std::vector<std::uint32_t> members; ///< Node numbers of the replica set.
};

/// One round of the log, to be handled in this order.
struct LogOutput {
    std::vector<ProposalFate> fates;
    std::vector<coordination::Message> messages;
    std::optional<std::string> snapshot; ///< Replaces the application's state.
    std::vector<coordination::Entry> committed;
    LogStatus status;
    /// Set if the application's state after `committed` is wanted.
    std::shared_ptr<std::promise<std::string>> stateWanted;
};

/// Runs one replica of the log on a thread of its own, the only one that touches the disk.
class LogThread
{
public:
    /// `wake` is called on the log's thread when there is output; `failed` when the disk fails for good.
    LogThread(std::unique_ptr<coordination::FileSystem> files,
              std::unique_ptr<coordination::FileLogStorage> storage,
              std::unique_ptr<coordination::Replica> replica,
              std::function<void()> wake,
              std::function<void(std::string)> failed);
    ~LogThread();
    LogThread(const LogThread &) = delete;
    LogThread &operator=(const LogThread &) = delete;

    /// Returns false if the ring is full; the input was then not taken.
    bool tryPush(LogInput &&input)
    {
        return input_.tryPush(std::move(input));
    }
    std::optional<LogOutput> takeOutput()
    {
        return output_.tryPop();
    }

private:
    void run();
    void handle(LogInput &input);
    bool flush();
    bool publish(LogOutput output);
    LogStatus status() const;

    std::unique_ptr<coordination::FileSystem> files_;
    std::unique_ptr<coordination::FileLogStorage> storage_;
    std::unique_ptr<coordination::Replica> replica_;
    std::function<void()> wake_;
    std::function<void(std::string)> failed_;
    base::BoundedQueue<LogInput> input_;
    base::BoundedQueue<LogOutput> output_;
    std::vector<ProposalFate> fates_;
    LogStatus published_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace yuccawheel::manager
