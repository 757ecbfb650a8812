#pragma once

#include "base/work_queue.h"

#include <boost/asio/io_context.hpp>

#include <chrono>

namespace yuccawheel::daemon
{

/// Turn of the event loop's handlers, and of queued work. What has a deadline is handled by the loop and waits for one
/// turn of queued work at most, or for one item if that takes longer.
constexpr std::chrono::milliseconds MaxTurn{1};

/// Runs handlers and queued work in turns until `io` is stopped. Work that is left then is dropped.
void runEventLoop(boost::asio::io_context &io, base::WorkQueue &work);

} // namespace yuccawheel::daemon
