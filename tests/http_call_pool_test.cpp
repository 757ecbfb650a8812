#include "http/call_pool.h"
#include "http/server.h"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>

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
