#include "http/server.h"
#include "http/server_group.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

using namespace yuccawheel;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace
{

constexpr std::string_view Request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

/// A server that keeps the responders of its requests, and its clients.
class ServerGroupTest : public testing::Test
{
protected:
    tcp::socket connect()
    {
        tcp::socket client(io_);
        client.connect(address_);
        return client;
    }
    tcp::socket send(std::string_view text)
    {
        tcp::socket client = connect();
        boost::asio::write(client, boost::asio::buffer(text));
        return client;
    }
    /// Runs the server until it has nothing to do for a moment.
    void runServer()
    {
        io_.restart(); // It stops when the last server has ended.
        while (io_.run_one_for(50ms) > 0) {
        }
    }
    /// Returns what a client receives until the server closes the connection. Empty if the connection is reset.
    static std::string readAll(tcp::socket &client)
    {
        std::string text;
        boost::system::error_code error;
        boost::asio::read(client, boost::asio::dynamic_buffer(text), error);
        return error == boost::asio::error::eof ? text : std::string();
    }

    boost::asio::io_context io_{1};
    std::vector<http::Responder> responders_;
    http::Server server_{io_,
                         {boost::asio::ip::make_address("127.0.0.1"), 0},
                         http::ServerOptions{},
                         [this](const http::Request &, const http::Responder &respond) {
                             responders_.push_back(respond);
                         }};
    const tcp::endpoint address_ = server_.address();
    http::ServerGroup &group_ = http::ServerGroup::of(io_);
};

} // namespace

// Guards against requests that are lost because their connection is still in the kernel's queue when the server ends.
TEST_F(ServerGroupTest, RequestsThatHaveArrivedAreRefusedWhenAcceptingEnds)
{
    runServer();
    tcp::socket client = send(Request);
    group_.refuseRequests();
    group_.stopAccepting();
    EXPECT_EQ(group_.busyConnections(), 1);
    runServer();
    const std::string answer = readAll(client);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
    EXPECT_NE(answer.find("not-run"), std::string::npos);
    EXPECT_TRUE(responders_.empty());
    client.close();
    runServer();
    EXPECT_EQ(group_.busyConnections(), 0);
    tcp::socket late(io_);
    boost::system::error_code error;
    late.connect(address_, error);
    EXPECT_TRUE(error);
}

TEST_F(ServerGroupTest, RequestsInProgressAreAnsweredAndIdleConnectionsClosedWhenAcceptingEnds)
{
    tcp::socket idle = connect();
    tcp::socket busy = send(Request);
    runServer();
    ASSERT_EQ(responders_.size(), 1);
    EXPECT_EQ(group_.unanswered(), 1);
    group_.refuseRequests();
    group_.stopAccepting();
    runServer();
    EXPECT_EQ(group_.busyConnections(), 1);
    EXPECT_EQ(group_.unanswered(), 1);
    responders_.front()({200, "whole", "text/plain", {}});
    EXPECT_EQ(group_.unanswered(), 0);
    runServer();
    const std::string answer = readAll(busy);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
    EXPECT_NE(answer.find("Connection: close"), std::string::npos);
    EXPECT_TRUE(answer.ends_with("whole"));
    EXPECT_EQ(readAll(idle), "");
}

// Guards against a reset that overtakes the last answer, since the socket was closed with unread bytes.
TEST_F(ServerGroupTest, LastAnswerArrivesAlthoughTheClientSendsMore)
{
    tcp::socket client = send(std::string(Request) + std::string(Request));
    runServer();
    group_.closeAfterAnswers();
    ASSERT_EQ(responders_.size(), 1);
    boost::asio::write(client, boost::asio::buffer(Request));
    responders_.front()({200, "whole", "text/plain", {}});
    runServer();
    EXPECT_TRUE(readAll(client).ends_with("whole"));
}

TEST_F(ServerGroupTest, ResponderThatIsDroppedLeavesNothingUnanswered)
{
    tcp::socket client = send(Request);
    runServer();
    EXPECT_EQ(group_.unanswered(), 1);
    responders_.clear();
    EXPECT_EQ(group_.unanswered(), 0);
    EXPECT_EQ(group_.busyConnections(), 0);
}
