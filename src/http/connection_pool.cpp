#include "http/connection_pool.h"

#include <boost/system/error_code.hpp>

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>

namespace yuccawheel::http
{

namespace
{

// Returns whether nothing has arrived on an idle connection. Data or an end of stream without a request makes it
// unusable.
bool isReusable(UpstreamConnection &connection)
{
    char byte = 0;
    const auto received = ::recv(connection.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

UpstreamConnection::UpstreamConnection(const IoExecutor &executor, std::string upstreamAddress)
    : socket(executor)
    , address(std::move(upstreamAddress))
{
}

UpstreamConnection::~UpstreamConnection()
{
    close();
}

void UpstreamConnection::close()
{
    boost::system::error_code ignored;
    socket.close(ignored);
    if (openCount != nullptr) {
        --*openCount;
        openCount.reset();
    }
}

ConnectionPool::ConnectionPool(const IoExecutor &executor, base::Duration idleTimeout)
    : executor_(executor)
    , idleTimeout_(idleTimeout)
{
}

// Reuses the most recently used connection first, so that surplus ones reach the idle timeout and are closed.
UpstreamConnectionPtr ConnectionPool::acquire(const std::string &address, std::uint32_t limit)
{
    Peer &peer = peers_[address];
    while (!peer.idle.empty()) {
        UpstreamConnectionPtr connection = std::move(peer.idle.back());
        peer.idle.pop_back();
        if (isReusable(*connection)) {
            connection->reused = true;
            return connection;
        }
        connection->close();
    }
    if (*peer.openCount >= limit) {
        return nullptr;
    }
    auto connection = std::make_shared<UpstreamConnection>(executor_, address);
    connection->openCount = peer.openCount;
    ++*peer.openCount;
    return connection;
}

// Bytes left in the buffer belong to no answer, so a connection that has any is closed instead of reused.
void ConnectionPool::release(const UpstreamConnectionPtr &connection, std::uint32_t limit, base::TimePoint now)
{
    Peer &peer = peers_[connection->address];
    if (connection->buffer.size() > 0 || *peer.openCount > limit || !connection->socket.is_open()) {
        connection->close();
        return;
    }
    connection->idleSince = now;
    peer.idle.push_back(connection);
}

void ConnectionPool::trim(const std::string &address, std::uint32_t limit)
{
    Peer &peer = peers_[address];
    while (*peer.openCount > limit && !peer.idle.empty()) {
        peer.idle.front()->close();
        peer.idle.erase(peer.idle.begin());
    }
}

void ConnectionPool::closeExpired(base::TimePoint now)
{
    for (auto peer = peers_.begin(); peer != peers_.end();) {
        std::vector<UpstreamConnectionPtr> &idle = peer->second.idle;
        std::erase_if(idle, [&](const UpstreamConnectionPtr &connection) {
            const bool expired = now - connection->idleSince >= idleTimeout_ || !isReusable(*connection);
            if (expired) {
                connection->close();
            }
            return expired;
        });
        peer = *peer->second.openCount == 0 ? peers_.erase(peer) : std::next(peer);
    }
}

void ConnectionPool::closeIdle()
{
    for (auto &[address, peer] : peers_) {
        for (const UpstreamConnectionPtr &connection : peer.idle) {
            connection->close();
        }
        peer.idle.clear();
    }
}

std::uint32_t ConnectionPool::openCount(const std::string &address) const
{
    const auto peer = peers_.find(address);
    return peer == peers_.end() ? 0 : *peer->second.openCount;
}

} // namespace yuccawheel::http
