#pragma once

#include "base/bounded_queue.h"
#include "base/clock.h"
#include "coordination/file_log_storage.h"
#include "coordination/replica.h"
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

/// Given to the replica's thread.
struct StoreInput {
    struct ClientGone {
        ClientId client = 0;
    };
    struct HandOver {
    };
    std::variant<coordination::Message, ClientRequest, ClientGone, HandOver> what;
};

/// Status for the health page, read by other threads.
struct StoreStatus {
    std::atomic<bool> ready{false}; ///< The replica is a voter, and leads or hears a leader.
    std::atomic<bool> leads{false};
    std::atomic<std::uint64_t> applied{0};
};

/// Runs one replica on a thread of its own, which is the only one to touch the disk.
class StoreThread
{
public:
    /// `wake` is called on the replica's thread when there is output; `failed` when the disk fails for good.
    StoreThread(std::unique_ptr<coordination::FileSystem> files,
                std::unique_ptr<coordination::FileLogStorage> storage,
                std::unique_ptr<coordination::Replica> replica,
                const StoreOptions &options,
                std::function<void()> wake,
                std::function<void(std::string)> failed);
    ~StoreThread();
    StoreThread(const StoreThread &) = delete;
    StoreThread &operator=(const StoreThread &) = delete;

    /// Returns false if the ring is full; the input was then not taken.
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
    std::function<void(std::string)> failed_;
    StoreStatus status_;
    base::BoundedQueue<StoreInput> input_;
    base::BoundedQueue<StoreOutput> output_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace yuccawheel::store
