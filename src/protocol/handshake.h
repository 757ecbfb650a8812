#pragma once

#include "protocol/identity.h"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>

namespace yuccawheel::protocol
{

inline constexpr std::chrono::milliseconds HandshakeTimeout{2000};

using HandshakeDone = std::function<void(boost::asio::ip::tcp::socket, Identity peer)>;
using HandshakeFailed = std::function<void(std::string reason)>;

/// Reads the far side's Hello, checks version and cluster, and answers. Calls exactly one of the functions.
void acceptHandshake(boost::asio::ip::tcp::socket socket, Identity self, HandshakeDone done, HandshakeFailed failed);

/// Sends this side's Hello and reads the answer. Calls exactly one of the functions.
void offerHandshake(boost::asio::ip::tcp::socket socket, Identity self, HandshakeDone done, HandshakeFailed failed);

} // namespace yuccawheel::protocol
