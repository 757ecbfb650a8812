#pragma once

#include "protocol/channel.h"
#include "protocol/members.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <unordered_set>

namespace yuccawheel::protocol
{

/// Accepts connections of the inner protocol. Connections that fail the handshake are logged and closed.
class Listener
{
public:
    struct Callbacks {
        std::function<void(const ChannelPtr &)> opened;
        std::function<void(const ChannelPtr &, Frame)> frame;
        std::function<void(const ChannelPtr &)> closed;
    };

    /// `members` must outlive the listener. Throws boost::system::system_error if the address can't be bound.
    Listener(boost::asio::io_context &io,
             const boost::asio::ip::tcp::endpoint &address,
             Members &members,
             Callbacks callbacks);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    /// Returns the bound address, with the actual port if port 0 was given.
    boost::asio::ip::tcp::endpoint address() const;
    /// Stops accepting connections and closes those that are open.
    void stop();

private:
    void accept();
    void acceptLater(const boost::system::error_code &error);
    void onHandshake(boost::asio::ip::tcp::socket socket, Identity peer);

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer retryTimer_;
    Members &members_;
    Callbacks callbacks_;
    std::unordered_set<ChannelPtr> channels_;
    std::shared_ptr<Listener *> alive_; ///< Shared with pending handlers; its pointer is null after destruction.
};

} // namespace yuccawheel::protocol
