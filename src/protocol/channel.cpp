#include "protocol/channel.h"

#include "base/traffic.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace yuccawheel::protocol
{

namespace asio = boost::asio;

namespace
{

// A type that this version doesn't know counts with the heartbeats; both carry nothing.
std::size_t trafficKind(MessageType type)
{
    const auto kind = static_cast<std::size_t>(type);
    return kind < base::ControlTraffic::Kinds ? kind : static_cast<std::size_t>(MessageType::Heartbeat);
}

} // namespace

Channel::Channel(asio::ip::tcp::socket socket, Identity peer)
    : socket_(std::move(socket))
    , timer_(socket_.get_executor())
    , peer_(std::move(peer))
    , lastReceived_(std::chrono::steady_clock::now())
    , lastSent_(lastReceived_)
{
    boost::system::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void Channel::start(Callbacks callbacks)
{
    callbacks_ = std::move(callbacks);
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
    base::controlTraffic().sent(trafficKind(frame.type), bytes);
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
                         self->lastReceived_ = std::chrono::steady_clock::now();
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
                         self->lastReceived_ = std::chrono::steady_clock::now();
                         base::controlTraffic().received(trafficKind(pending->type),
                                                         FrameHeaderBytes + pending->payload.size());
                         if (pending->type != MessageType::Heartbeat && self->callbacks_.frame) {
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
    lastSent_ = std::chrono::steady_clock::now();
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

// An open connection proves nothing about the far side: only what arrives does.
void Channel::onTimer()
{
    if (!open_) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    if (now - lastReceived_ > SilenceLimit) {
        close("silent");
        return;
    }
    if (now - lastSent_ >= HeartbeatInterval) {
        send(Frame{});
    }
    timer_.expires_after(HeartbeatInterval);
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        if (const auto self = weak.lock(); self && !error) {
            self->onTimer();
        }
    });
}

} // namespace yuccawheel::protocol
