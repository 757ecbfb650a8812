#include "protocol/channel.h"

#include "base/duty_time.h"
#include "base/traffic.h"
#include "protocol/members.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <utility>

namespace yuccawheel::protocol
{

namespace asio = boost::asio;

namespace
{

constexpr std::string_view SilentReason = "silent";
constexpr std::size_t MinReadBytes = 4096; ///< Holds several messages of the usual size.
constexpr std::size_t MaxRetainedBytes = 64U << 10U; ///< Buffer that a channel keeps after a large message.

// Counts message types that this version doesn't know as heartbeats.
std::size_t trafficKind(MessageType type)
{
    const auto kind = static_cast<std::size_t>(type);
    return kind < base::ControlTraffic::KindCount ? kind : static_cast<std::size_t>(MessageType::Heartbeat);
}

base::Duty dutyOf(const Identity &peer)
{
    return peer.role == Role::Manager || peer.role == Role::Store ? base::Duty::Replication : base::Duty::Requests;
}

} // namespace

Channel::Channel(asio::ip::tcp::socket socket, Identity peer, Members &members)
    : socket_(std::move(socket))
    , timer_(socket_.get_executor())
    , peer_(std::move(peer))
    , members_(members)
    , timeoutEstimator_(members.settings())
    , lastReceived_(base::BootClock::now())
    , lastSent_(lastReceived_)
    , timerDue_(lastReceived_)
{
    boost::system::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void Channel::start(Callbacks callbacks)
{
    callbacks_ = std::move(callbacks);
    members_.addChannel(shared_from_this());
    read();
    onTimer();
}

bool Channel::send(const Frame &frame)
{
    const base::DutyScope duty(dutyOf(peer_));
    const std::size_t bytes = FrameHeaderBytes + frame.payload.size();
    if (!open_ || frame.payload.size() > MaxPayloadBytes || queuedBytes_ + bytes > MaxQueuedBytes) {
        return false;
    }
    const FrameHeader header = encodeHeader(frame);
    std::string encoded;
    encoded.reserve(bytes);
    encoded.append(header.begin(), header.end());
    encoded.append(frame.payload);
    queuedBytes_ += bytes;
    lastSent_ = base::BootClock::now();
    base::controlTraffic().addSent(trafficKind(frame.type), bytes);
    queue_.push_back(std::move(encoded));
    if (!writing_) {
        writeNext();
    }
    return true;
}

void Channel::close(std::string_view reason)
{
    if (!open_) {
        return;
    }
    open_ = false;
    timer_.cancel();
    boost::system::error_code ignored;
    socket_.close(ignored);
    // Breaks reference cycles: the callbacks often hold a pointer to this channel.
    const auto callbacks = std::exchange(callbacks_, {});
    members_.removeChannel(shared_from_this(), reason == SilentReason);
    if (callbacks.closed) {
        callbacks.closed(shared_from_this(), reason);
    }
}

void Channel::read()
{
    input_.resize(std::max(input_.size(), inputBytes_ + std::max(MinReadBytes, missingBytes_)));
    socket_.async_read_some(asio::buffer(input_.data() + inputBytes_, input_.size() - inputBytes_),
                            [self = shared_from_this()](const boost::system::error_code &error, std::size_t bytes) {
                                const base::DutyScope duty(dutyOf(self->peer_));
                                if (error || !self->open_) {
                                    self->close(error ? error.message() : "closed");
                                    return;
                                }
                                self->inputBytes_ += bytes;
                                self->onReceived();
                                self->handleInput();
                                if (self->open_) {
                                    self->read();
                                }
                            });
}

// Handles all whole frames that have been read and keeps the rest.
void Channel::handleInput()
{
    std::size_t handled = 0;
    missingBytes_ = 0;
    while (open_ && inputBytes_ - handled >= FrameHeaderBytes) {
        FrameHeader bytes{};
        std::copy_n(input_.begin() + static_cast<std::ptrdiff_t>(handled), FrameHeaderBytes, bytes.begin());
        auto header = decodeHeader(bytes);
        if (!header || header->payloadBytes > MaxPayloadBytes) {
            close("malformed frame header");
            return;
        }
        const std::size_t frameBytes = FrameHeaderBytes + header->payloadBytes;
        if (inputBytes_ - handled < frameBytes) {
            missingBytes_ = frameBytes - (inputBytes_ - handled);
            break;
        }
        header->frame.payload.assign(input_.data() + handled + FrameHeaderBytes, header->payloadBytes);
        handled += frameBytes;
        handleFrame(std::move(header->frame));
    }
    inputBytes_ -= handled;
    std::copy_n(input_.begin() + static_cast<std::ptrdiff_t>(handled), inputBytes_, input_.begin());
    if (input_.size() > MaxRetainedBytes && inputBytes_ + missingBytes_ < MaxRetainedBytes) {
        input_.resize(MaxRetainedBytes);
        input_.shrink_to_fit();
    }
}

void Channel::handleFrame(Frame frame)
{
    base::controlTraffic().addReceived(trafficKind(frame.type), FrameHeaderBytes + frame.payload.size());
    if (frame.type == MessageType::Leave) {
        members_.markLeft(peer_);
        close("left");
    } else if (frame.type != MessageType::Heartbeat && callbacks_.frame) {
        const auto handler = callbacks_.frame;
        handler(shared_from_this(), std::move(frame));
    }
}

void Channel::writeNext()
{
    if (queue_.empty() || !open_) {
        writing_ = false;
        return;
    }
    writing_ = true;
    asio::async_write(socket_,
                      asio::buffer(queue_.front()),
                      [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
                          const base::DutyScope duty(dutyOf(self->peer_));
                          if (error || !self->open_) {
                              self->close(error ? error.message() : "closed");
                              return;
                          }
                          self->queuedBytes_ -= self->queue_.front().size();
                          self->queue_.pop_front();
                          self->writeNext();
                      });
}

void Channel::onReceived()
{
    const base::TimePoint now = base::BootClock::now();
    longestGap_ = std::max(longestGap_, now - lastReceived_);
    lastReceived_ = now;
}

// An open connection doesn't prove that the peer is alive; only received data does. The estimator gets only the longest
// gap of each timer period: the short gaps within a burst of messages would lower the timeout below the heartbeat
// interval.
void Channel::onTimer()
{
    if (!open_) {
        return;
    }
    const base::TimePoint now = base::BootClock::now();
    compensateForPause(now);
    if (longestGap_ > base::Duration::zero()) {
        timeoutEstimator_.observe(std::exchange(longestGap_, base::Duration::zero()));
        members_.recordActivity(peer_);
    }
    if (now - lastReceived_ >= timeoutEstimator_.timeout()) {
        close(SilentReason);
        return;
    }
    if (now - lastSent_ >= members_.settings().expectedInterval) {
        send(Frame{});
    }
    startTimer(now);
}

// If this process was paused, data that arrived during the pause has not been read yet. The peer gets one more
// heartbeat interval before the timeout applies, and the gap is not reported to the estimator.
void Channel::compensateForPause(base::TimePoint now)
{
    const base::Duration heartbeatInterval = members_.settings().expectedInterval;
    if (now - timerDue_ < heartbeatInterval) {
        return;
    }
    longestGap_ = base::Duration::zero();
    lastReceived_ = std::max(lastReceived_, now - timeoutEstimator_.timeout() + heartbeatInterval);
}

void Channel::startTimer(base::TimePoint now)
{
    timerDue_ = std::min(lastSent_ + members_.settings().expectedInterval, lastReceived_ + timeoutEstimator_.timeout());
    timer_.expires_after(timerDue_ - now);
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        if (const auto self = weak.lock(); self && !error) {
            self->onTimer();
        }
    });
}

} // namespace yuccawheel::protocol
