#pragma once

#include "protocol/identity.h"
#include "protocol/members.h"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>

namespace yuccawheel::protocol
{

inline constexpr std::chrono::milliseconds HandshakeTimeout{2000};

using HandshakeDone = std::function<void(boost::asio::ip::tcp::socket, Identity peer)>;
using HandshakeFailed = std::function<void(std::string reason)>;

/// Reads the peer's Hello, checks its version, cluster and incarnation, and replies. Calls exactly one of `done` and
/// `failed`.
void acceptHandshake(boost::asio::ip::tcp::socket socket,
                     const Members &members,
                     HandshakeDone done,
                     HandshakeFailed failed);

/// Sends Hello, reads the reply and checks the peer's cluster and incarnation. Calls exactly one of `done` and
/// `failed`.
void offerHandshake(boost::asio::ip::tcp::socket socket,
                    const Members &members,
                    HandshakeDone done,
                    HandshakeFailed failed);

} // namespace yuccawheel::protocol
