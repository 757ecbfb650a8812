#include "protocol/channel.h"

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

// A type that this version doesn't know counts with the heartbeats; both carry nothing.
std::size_t trafficKind(MessageType type)
{
    const auto kind = static_cast<std::size_t>(type);
    return kind < base::ControlTraffic::KindCount ? kind : static_cast<std::size_t>(MessageType::Heartbeat);
}

} // namespace

Channel::Channel(asio::ip::tcp::socket socket, Identity peer, Members &members)
    : socket_(std::move(socket))
    , timer_(socket_.get_executor())
    , peer_(std::move(peer))
    , members_(members)
    , rhythm_(members.settings())
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
    members_.opened(shared_from_this());
    readHeader();
    onTimer();
}

bool Channel::send(const Frame &frame)
{
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
    // The callbacks often hold a pointer to this channel, so they are released with the connection.
    const auto callbacks = std::exchange(callbacks_, {});
    members_.closed(shared_from_this(), reason == SilentReason);
    if (callbacks.closed) {
        callbacks.closed(shared_from_this(), reason);
    }
}

void Channel::readHeader()
{
    asio::async_read(socket_,
                     asio::buffer(readBuffer_),
                     [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
                         if (error) {
                             self->close(error.message());
                             return;
                         }
                         self->onReceived();
                         const auto header = decodeHeader(self->readBuffer_);
                         if (!header || header->payloadBytes > MaxPayloadBytes) {
                             self->close("malformed frame header");
                             return;
                         }
                         self->readPayload(header->frame, header->payloadBytes);
                     });
}

void Channel::readPayload(Frame frame, std::size_t bytes)
{
    auto pending = std::make_shared<Frame>(std::move(frame));
    pending->payload.resize(bytes);
    asio::async_read(socket_,
                     asio::buffer(pending->payload),
                     [self = shared_from_this(), pending](const boost::system::error_code &error, std::size_t) {
                         if (error || !self->open_) {
                             self->close(error ? error.message() : "closed");
                             return;
                         }
                         self->onReceived();
                         base::controlTraffic().addReceived(trafficKind(pending->type),
                                                            FrameHeaderBytes + pending->payload.size());
                         if (pending->type == MessageType::Leave) {
                             self->members_.left(self->peer_);
                             self->close("left");
                         } else if (pending->type != MessageType::Heartbeat && self->callbacks_.frame) {
                             const auto handler = self->callbacks_.frame;
                             handler(self, std::move(*pending));
                         }
                         if (self->open_) {
                             self->readHeader();
                         }
                     });
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

// An open connection proves nothing about the far side: only what arrives does. Between two heartbeats only the longest
// gap counts, or a burst of messages would make the rhythm look faster than the heartbeats are.
void Channel::onTimer()
{
    if (!open_) {
        return;
    }
    const base::TimePoint now = base::BootClock::now();
    forgivePause(now);
    if (longestGap_ > base::Duration::zero()) {
        rhythm_.observe(std::exchange(longestGap_, base::Duration::zero()));
        members_.heard(peer_);
    }
    if (now - lastReceived_ >= rhythm_.timeout()) {
        close(SilentReason);
        return;
    }
    if (now - lastSent_ >= members_.settings().expectedInterval) {
        send(Frame{});
    }
    startTimer(now);
}

// A process that was itself paused has yet to read what has arrived meanwhile, so it gives the far side the time of one
// heartbeat before it judges.
void Channel::forgivePause(base::TimePoint now)
{
    const base::Duration heartbeat = members_.settings().expectedInterval;
    if (now - timerDue_ < heartbeat) {
        return;
    }
    longestGap_ = base::Duration::zero();
    lastReceived_ = std::max(lastReceived_, now - rhythm_.timeout() + heartbeat);
}

void Channel::startTimer(base::TimePoint now)
{
    timerDue_ = std::min(lastSent_ + members_.settings().expectedInterval, lastReceived_ + rhythm_.timeout());
    timer_.expires_after(timerDue_ - now);
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        if (const auto self = weak.lock(); self && !error) {
            self->onTimer();
        }
    });
}

} // namespace yuccawheel::protocol
