#include "http/client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <thread>

using namespace yuccawheel;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace
{

/// Accepts one connection, reads the head of one request, writes the given bytes and closes the connection. Given no
/// bytes, sends nothing until the client closes the connection.
class CannedServer
{
public:
    explicit CannedServer(std::string answer) : acceptor_(context_, tcp::endpoint(tcp::v4(), 0))
    {
        thread_ = std::thread([this, answer = std::move(answer)] {
            tcp::socket socket(context_);
            boost::system::error_code error;
            acceptor_.accept(socket, error);
            std::string request;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", error);
            boost::asio::write(socket, boost::asio::buffer(answer), error);
            if (answer.empty()) {
                boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "never", error);
            }
        });
    }
    ~CannedServer()
    {
        thread_.join();
    }
    settings::Endpoint endpoint() const
    {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }

private:
    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
    std::thread thread_;
};

auto callCannedServer(const std::string &answer, std::chrono::milliseconds timeout)
{
    const CannedServer server(answer);
    return http::call(server.endpoint(), {"GET", "/", {{"Authorization", "Bearer x"}}, ""}, timeout);
}

} // namespace

TEST(HttpClient, completeAnswerIsReturned)
{
    const auto response =
        callCannedServer("HTTP/1.1 409 Conflict\r\nX-Verdict: not-run\r\nContent-Length: 2\r\n\r\nno", 10s);
    ASSERT_TRUE(response) << response.error().text;
    EXPECT_EQ(response->status, 409);
    EXPECT_EQ(response->body, "no");
    EXPECT_EQ(response->header("x-verdict"), "not-run");
    EXPECT_TRUE(callCannedServer("HTTP/1.1 204 No Content\r\n\r\n", 10s));
    EXPECT_EQ(callCannedServer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 10s)->body,
              "ok");
}

TEST(HttpClient, truncatedAnswerMayHaveRun)
{
    for (const char *answer : {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nno",
                               "HTTP/1.1 200 OK\r\n\r\nall until the end",
                               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
                               "HTTP/1.1 200 OK\r\nContent-Le",
                               "nonsense\r\n\r\n"}) {
        const auto response = callCannedServer(answer, 10s);
        ASSERT_FALSE(response) << answer;
        EXPECT_EQ(response.error().verdict, base::Verdict::MayHaveRun) << answer;
    }
}

TEST(HttpClient, callToSilentServerTimesOut)
{
    const auto response = callCannedServer("", 50ms);
    ASSERT_FALSE(response);
    EXPECT_EQ(response.error().verdict, base::Verdict::MayHaveRun);
}

TEST(HttpClient, refusedConnectionDidNotRun)
{
    boost::asio::io_context context;
    std::uint16_t port = 0;
    {
        const tcp::acceptor acceptor(context, tcp::endpoint(tcp::v4(), 0));
        port = acceptor.local_endpoint().port();
    }
    const auto response = http::call({"127.0.0.1", port}, {"GET", "/", {}, ""}, 10s);
    ASSERT_FALSE(response);
    EXPECT_EQ(response.error().verdict, base::Verdict::NotRun);
}
