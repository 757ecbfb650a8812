#include "http/server_group.h"

namespace yuccawheel::http
{

boost::asio::execution_context::id ServerGroup::id;

ServerGroup::ServerGroup(boost::asio::execution_context &context) : boost::asio::execution_context::service(context)
{
}

ServerGroup &ServerGroup::of(boost::asio::io_context &io)
{
    return boost::asio::use_service<ServerGroup>(io);
}

void ServerGroup::add(GroupedServer &server)
{
    servers_.push_back(&server);
}

void ServerGroup::remove(GroupedServer &server)
{
    std::erase(servers_, &server);
}

void ServerGroup::closeAfterAnswers()
{
    for (GroupedServer *const server : servers_) {
        server->closeAfterAnswers();
    }
}

void ServerGroup::refuseRequests()
{
    for (GroupedServer *const server : servers_) {
        server->refuseRequests();
    }
}

void ServerGroup::stopAccepting()
{
    for (GroupedServer *const server : servers_) {
        server->stopAccepting();
    }
}

std::size_t ServerGroup::unanswered() const
{
    return sum(&GroupedServer::unanswered);
}

std::size_t ServerGroup::busyConnections() const
{
    return sum(&GroupedServer::busyConnections);
}

std::size_t ServerGroup::sum(std::size_t (GroupedServer::*count)() const) const
{
    std::size_t total = 0;
    for (const GroupedServer *const server : servers_) {
        total += (server->*count)();
    }
    return total;
}

} // namespace yuccawheel::http
