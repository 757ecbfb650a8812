#include "protocol/listener.h"

#include "base/log.h"
#include "protocol/handshake.h"

#include <utility>

namespace yuccawheel::protocol
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds AcceptRetryDelay{100};

} // namespace

Listener::Listener(asio::io_context &io, const asio::ip::tcp::endpoint &address, Members &members, Callbacks callbacks)
    : acceptor_(io, address)
    , retryTimer_(io)
    , members_(members)
    , callbacks_(std::move(callbacks))
    , alive_(std::make_shared<Listener *>(this))
{
    accept();
}

Listener::~Listener()
{
    *alive_ = nullptr;
    stop();
}

asio::ip::tcp::endpoint Listener::address() const
{
    return acceptor_.local_endpoint();
}

void Listener::stop()
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    const auto channels = std::exchange(channels_, {});
    for (const auto &channel : channels) {
        channel->close("stopping");
    }
}

void Listener::accept()
{
    acceptor_.async_accept([alive = alive_](const boost::system::error_code &error, asio::ip::tcp::socket socket) {
        Listener *const self = *alive;
        if (self == nullptr || error == asio::error::operation_aborted) {
            return;
        }
        if (error) {
            self->acceptLater(error);
            return;
        }
        acceptHandshake(
            std::move(socket),
            self->members_,
            [alive](asio::ip::tcp::socket accepted, Identity peer) {
                if (*alive != nullptr) {
                    (*alive)->onHandshake(std::move(accepted), std::move(peer));
                }
            },
            [](const std::string &reason) { base::logWarning("peer_refused").with("reason", reason); });
        self->accept();
    });
}

// Without free file descriptors, accepting again at once would keep the thread busy.
void Listener::acceptLater(const boost::system::error_code &error)
{
    base::logWarning("accept_failed").with("error", error.message());
    retryTimer_.expires_after(AcceptRetryDelay);
    retryTimer_.async_wait([alive = alive_](const boost::system::error_code &cancelled) {
        if (*alive != nullptr && !cancelled) {
            (*alive)->accept();
        }
    });
}

void Listener::onHandshake(asio::ip::tcp::socket socket, Identity peer)
{
    const auto channel = std::make_shared<Channel>(std::move(socket), std::move(peer), members_);
    channels_.insert(channel);
    if (callbacks_.opened) {
        callbacks_.opened(channel);
    }
    channel->start({[alive = alive_](const ChannelPtr &from, Frame frame) {
                        if (*alive != nullptr && (*alive)->callbacks_.frame) {
                            (*alive)->callbacks_.frame(from, std::move(frame));
                        }
                    },
                    [alive = alive_](const ChannelPtr &from, std::string_view) {
                        if (*alive == nullptr) {
                            return;
                        }
                        (*alive)->channels_.erase(from);
                        if ((*alive)->callbacks_.closed) {
                            (*alive)->callbacks_.closed(from);
                        }
                    }});
}

} // namespace yuccawheel::protocol
