#pragma once

#include "base/bounded_queue.h"
#include "base/clock.h"
#include "coordination/file_log_storage.h"
#include "coordination/replica.h"
#include "store/disk_full_log.h"
#include "workflow/log_output.h"

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

/// Input of the log thread.
struct LogInput {
    struct Proposal {
        std::uint64_t id = 0; ///< Returned in the workflow::ProposalResult.
        std::string data;
    };
    struct HandOverLeadership {
    };
    struct SetNodes {
        std::vector<std::uint32_t> nodes; ///< Managers to ask for admission to the replica set.
    };
    std::variant<coordination::Message, Proposal, HandOverLeadership, SetNodes> payload;
};

/// Output of one flush of the replica. The messages go first.
struct LogThreadOutput {
    std::vector<coordination::Message> messages;
    workflow::LogOutput log;
};

/// A replica with its storage.
struct OpenLog {
    std::unique_ptr<coordination::FileLogStorage> storage;
    std::unique_ptr<coordination::Replica> replica;
};

/// Runs one replica of the log on its own thread, the only one that accesses the disk. While the disk is full, the
/// replica takes no part in the log.
class LogThread
{
public:
    using Open = std::function<coordination::StorageResult<OpenLog>()>;

    /// All callbacks run on the log thread: `open` at the start, again while it returns NoSpace, `onOutput` when there
    /// is output, and `onFailure` when the disk has failed, after which the thread ends.
    LogThread(Open open, std::function<void()> onOutput, std::function<void(std::string)> onFailure);
    ~LogThread();
    LogThread(const LogThread &) = delete;
    LogThread &operator=(const LogThread &) = delete;

    /// Returns false if the queue is full; the input is not queued then.
    bool tryPush(LogInput &&input)
    {
        return input_.tryPush(std::move(input));
    }
    std::optional<LogThreadOutput> tryPopOutput()
    {
        return output_.tryPop();
    }

private:
    void run();
    bool openLog();
    std::optional<LogInput> waitForInput();
    void handle(LogInput &input);
    bool flush();
    bool saveRequestedState();
    bool publish(LogThreadOutput output);
    workflow::LogStatus status() const;

    Open open_;
    OpenLog log_;
    std::function<void()> onOutput_;
    std::function<void(std::string)> onFailure_;
    base::BoundedQueue<LogInput> input_;
    base::BoundedQueue<LogThreadOutput> output_;
    std::vector<workflow::ProposalResult> results_;
    workflow::LogStatus published_; ///< Status of the last published output.
    std::future<std::string> requestedState_; ///< Valid while the application makes it.
    coordination::Index requestedIndex_ = 0;
    store::DiskFullLog diskFullLog_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace yuccawheel::manager
