#include "store_thread.h"

#include "base/log.h"

#include <chrono>

namespace yuccawheel::store
{

namespace
{

constexpr std::size_t InputQueueCapacity = 4'096;
constexpr std::size_t OutputQueueCapacity = 1'024;
constexpr std::size_t MaxInputsPerRound = 256;
constexpr std::chrono::milliseconds TickInterval{20};
constexpr std::chrono::milliseconds FullQueueRetryInterval{1};

WallTime wallNow()
{
    return std::chrono::duration_cast<WallTime>(std::chrono::system_clock::now().time_since_epoch());
}

} // namespace

StoreThread::StoreThread(std::unique_ptr<coordination::FileSystem> files,
                         std::unique_ptr<coordination::FileLogStorage> storage,
                         std::unique_ptr<coordination::Replica> replica,
                         const StoreOptions &options,
                         std::function<void()> wake,
                         std::function<void(std::string)> onDiskFailure)
    : files_(std::move(files))
    , storage_(std::move(storage))
    , replica_(std::move(replica))
    , core_(*replica_, options, base::BootClock::now())
    , wake_(std::move(wake))
    , onDiskFailure_(std::move(onDiskFailure))
    , input_(InputQueueCapacity)
    , output_(OutputQueueCapacity)
    , thread_([this] { run(); })
{
}

StoreThread::~StoreThread()
{
    stopping_ = true;
    input_.close();
    thread_.join();
}

// Handles queued inputs in batches of bounded size and syncs the disk once per batch.
void StoreThread::run()
{
    while (!stopping_) {
        auto input = input_.popFor(TickInterval);
        for (std::size_t handled = 0; input; ++handled) {
            handle(*input);
            input = handled < MaxInputsPerRound ? input_.tryPop() : std::nullopt;
        }
        core_.tick(base::BootClock::now(), wallNow());
        if (!flush()) {
            return;
        }
    }
}

void StoreThread::handle(StoreInput &input)
{
    const base::TimePoint now = base::BootClock::now();
    if (const auto *message = std::get_if<coordination::Message>(&input.content)) {
        core_.receive(*message, now);
    } else if (const auto *request = std::get_if<ClientRequest>(&input.content)) {
        core_.handleRequest(*request, now, wallNow());
    } else if (const auto *gone = std::get_if<StoreInput::ClientDisconnected>(&input.content)) {
        core_.onClientDisconnected(gone->client);
    } else {
        core_.handOver(now);
    }
}

bool StoreThread::flush()
{
    bool more = true;
    while (more && !stopping_) {
        auto output = core_.flush(base::BootClock::now());
        if (!output) {
            onDiskFailure_(std::string(coordination::toString(output.error().failure)) + ": " + output.error().detail);
            return false;
        }
        more = output->more;
        const bool empty = output->messages.empty() && output->frames.empty();
        while (!empty && !stopping_ && !output_.tryPushFrom(*output)) {
            wake_();
            std::this_thread::sleep_for(FullQueueRetryInterval);
        }
        if (!empty) {
            wake_();
        }
    }
    const bool full = replica_->isDiskFull();
    diskFullLog_.update(full);
    status_.isLeader = !full && core_.isLeader();
    status_.ready = !full && core_.log().leader().node != 0
        && (core_.log().role() == coordination::Role::Leader || core_.log().role() == coordination::Role::Follower);
    status_.appliedIndex = core_.state().index();
    return true;
}

} // namespace yuccawheel::store
