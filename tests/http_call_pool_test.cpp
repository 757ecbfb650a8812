#include "http/call_pool.h"
#include "http/server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>
#include <thread>

using namespace yuccawheel;
using namespace std::chrono_literals;

namespace
{

using Answer = tl::expected<http::ClientResponse, http::CallError>;

/// A server that answers everything but `/never`, and a pool with one connection to it.
class CallPoolTest : public testing::Test
{
protected:
    CallPoolTest()
        : io_(1)
        , server_(io_,
                  {boost::asio::ip::make_address("127.0.0.1"), 0},
                  http::ServerOptions{},
                  [this](const http::Request &request, const http::Responder &respond) {
                      if (request.path == "/never") {
                          unanswered_ = respond;
                      } else {
                          respond({200, request.body, "text/plain", {}});
                      }
                  })
        , pool_(io_, {"127.0.0.1", server_.address().port()}, http::CallPoolOptions{1})
    {
    }

    /// Returns the answer, or nothing if there is none within `limit`.
    std::optional<Answer> call(const std::string &path, std::chrono::milliseconds timeout, std::chrono::seconds limit)
    {
        std::optional<Answer> answer;
        pool_.call({"POST", path, {}, "body"}, timeout, [&answer](Answer given) { answer = std::move(given); });
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!answer && std::chrono::steady_clock::now() < end) {
            io_.run_one_for(10ms);
        }
        return answer;
    }

private:
    boost::asio::io_context io_;
    http::Responder unanswered_;
    http::Server server_;
    http::CallPool pool_;
};

} // namespace

// Guards against a short call that gets the deadline of a long one, because a connection's timer outlives its calls.
TEST_F(CallPoolTest, CallAfterOneWithALaterDeadlineTimesOutAtItsOwn)
{
    constexpr auto Long = 1h;
    const auto first = call("/echo", Long, 30s);
    ASSERT_TRUE(first && first->has_value());
    EXPECT_EQ((*first)->body, "body");
    const auto second = call("/never", 100ms, 30s);
    ASSERT_TRUE(second.has_value()) << "no time-out";
    EXPECT_FALSE(second->has_value());
    EXPECT_EQ(second->error().verdict, base::Verdict::MayHaveRun);
}

TEST_F(CallPoolTest, CallAfterOneWithAnEarlierDeadlineGetsItsWholeTime)
{
    const auto first = call("/echo", 1s, 30s);
    ASSERT_TRUE(first && first->has_value());
    const auto begin = std::chrono::steady_clock::now();
    const auto second = call("/never", 2s, 30s);
    ASSERT_TRUE(second.has_value());
    EXPECT_GE(std::chrono::steady_clock::now() - begin, 2s);
}

// Guards against a start order that counts as never sent although it crashed the worker: the call was repeated on a new
// connection, which the closed port refused.
TEST(CallPool, CallMayHaveRunIfItsServerEndsBeforeAnswering)
{
    using boost::asio::ip::tcp;
    boost::asio::io_context serverIo;
    tcp::acceptor acceptor(serverIo, {boost::asio::ip::make_address("127.0.0.1"), 0});
    const std::uint16_t port = acceptor.local_endpoint().port();
    std::thread server([&] {
        tcp::socket socket = acceptor.accept();
        std::string request;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
        boost::asio::write(socket, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
        request.clear();
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
        acceptor.close();
        socket.close();
    });
    boost::asio::io_context io(1);
    http::CallPool pool(io, {"127.0.0.1", port}, http::CallPoolOptions{1});
    const auto call = [&] {
        std::optional<Answer> answer;
        pool.call({"GET", "/", {}, ""}, 30s, [&answer](Answer given) { answer = std::move(given); });
        while (!answer) {
            io.restart();
            io.run_one_for(10ms);
        }
        return *answer;
    };
    EXPECT_TRUE(call().has_value());
    const Answer unanswered = call();
    server.join();
    ASSERT_FALSE(unanswered.has_value());
    EXPECT_EQ(unanswered.error().verdict, base::Verdict::MayHaveRun);
}
