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

/// Reads the far side's Hello, checks version, cluster and incarnation, and answers. Calls exactly one of the
/// functions.
void acceptHandshake(boost::asio::ip::tcp::socket socket,
                     const Members &members,
                     HandshakeDone done,
                     HandshakeFailed failed);

/// Sends this side's Hello, reads the answer and checks it alike. Calls exactly one of the functions.
void offerHandshake(boost::asio::ip::tcp::socket socket,
                    const Members &members,
                    HandshakeDone done,
                    HandshakeFailed failed);

} // namespace yuccawheel::protocol
