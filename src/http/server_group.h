#pragma once

#include <boost/asio/execution_context.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <vector>

namespace yuccawheel::http
{

/// A server as seen by its group.
class GroupedServer
{
public:
    virtual ~GroupedServer() = default;

    virtual void closeAfterAnswers() = 0;
    virtual void refuseRequests() = 0;
    virtual void stopAccepting() = 0;
    virtual std::size_t unanswered() const = 0;
    virtual std::size_t busyConnections() const = 0;
};

/// The HTTP servers of an io_context, which end together with their process. All calls are on the io_context's thread.
class ServerGroup : public boost::asio::execution_context::service
{
public:
    using key_type = ServerGroup;
    static boost::asio::execution_context::id id;

    explicit ServerGroup(boost::asio::execution_context &context);
    static ServerGroup &of(boost::asio::io_context &io);

    void add(GroupedServer &server);
    void remove(GroupedServer &server);

    /// Answers close their connections from now on, so that clients move to other processes.
    void closeAfterAnswers();
    /// Further requests are answered with 503 and the verdict not-run. Responses to earlier ones are still sent.
    void refuseRequests();
    /// Accepts no more connections and closes idle ones. Requests that have begun to arrive are still answered.
    void stopAccepting();
    /// Returns the number of requests that have no response yet.
    std::size_t unanswered() const;
    /// Returns the number of connections on which a request, its answer or the client's close is still to come.
    std::size_t busyConnections() const;

private:
    void shutdown() override
    {
    }
    std::size_t sum(std::size_t (GroupedServer::*count)() const) const;

    std::vector<GroupedServer *> servers_;
};

} // namespace yuccawheel::http
