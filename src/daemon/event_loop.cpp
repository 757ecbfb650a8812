#include "daemon/event_loop.h"

#include "base/duty_time.h"

namespace yuccawheel::daemon
{

namespace
{

/// Calls `runOne` until it returns false or a turn is over. Returns whether it has returned true.
template <typename RunOne>
bool takeTurn(RunOne runOne)
{
    const auto end = std::chrono::steady_clock::now() + MaxTurn;
    bool anyRun = false;
    while (runOne()) {
        anyRun = true;
        if (std::chrono::steady_clock::now() >= end) {
            break;
        }
    }
    return anyRun;
}

} // namespace

// Waits only if there is nothing to do, so that waiting is charged apart from all else.
void runEventLoop(boost::asio::io_context &io, base::WorkQueue &work)
{
    while (!io.stopped()) {
        const bool handled = takeTurn([&io] { return io.poll_one() > 0; });
        const bool worked = takeTurn([&] { return !io.stopped() && work.runNext(); });
        if (!handled && !worked && !io.stopped()) {
            const base::DutyScope duty(base::Duty::Waiting);
            io.run_one();
        }
    }
    work.clear();
}

} // namespace yuccawheel::daemon
