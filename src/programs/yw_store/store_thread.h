#pragma once

#include "base/bounded_queue.h"
#include "base/clock.h"
#include "coordination/file_log_storage.h"
#include "coordination/replica.h"
#include "store/disk_full_log.h"
#include "store/store_core.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <variant>

namespace yuccawheel::store
{

/// Input of the replica's thread.
struct StoreInput {
    struct ClientDisconnected {
        ClientId client = 0;
    };
    struct HandOverLeadership {
    };
    std::variant<coordination::Message, ClientRequest, ClientDisconnected, HandOverLeadership> content;
};

/// Replica status that other threads may read.
struct StoreStatus {
    std::atomic<bool> ready{false}; ///< The replica is a voter and knows the leader.
    std::atomic<bool> isLeader{false};
    std::atomic<std::uint64_t> appliedIndex{0};
};

/// Runs one replica on its own thread, the only one that accesses the disk.
class StoreThread
{
public:
    /// `wake` is called on the replica's thread when output is available, `onDiskFailure` when the disk has failed
    /// permanently.
    StoreThread(std::unique_ptr<coordination::FileSystem> files,
                std::unique_ptr<coordination::FileLogStorage> storage,
                std::unique_ptr<coordination::Replica> replica,
                const StoreOptions &options,
                std::function<void()> wake,
                std::function<void(std::string)> onDiskFailure);
    ~StoreThread();
    StoreThread(const StoreThread &) = delete;
    StoreThread &operator=(const StoreThread &) = delete;

    /// Returns false if the queue is full; the input is then not queued.
    bool tryPush(StoreInput &&input)
    {
        return input_.tryPush(std::move(input));
    }
    std::optional<StoreOutput> takeOutput()
    {
        return output_.tryPop();
    }
    const StoreStatus &status() const
    {
        return status_;
    }

private:
    void run();
    void handle(StoreInput &input);
    bool flush();

    std::unique_ptr<coordination::FileSystem> files_;
    std::unique_ptr<coordination::FileLogStorage> storage_;
    std::unique_ptr<coordination::Replica> replica_;
    StoreCore core_;
    std::function<void()> wake_;
    std::function<void(std::string)> onDiskFailure_;
    StoreStatus status_;
    base::BoundedQueue<StoreInput> input_;
    base::BoundedQueue<StoreOutput> output_;
    DiskFullLog diskFullLog_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace yuccawheel::store
