#include "http/server.h"
#include "platform/json_fields.h"
#include "platform/worker_client.h"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

using namespace yuccawheel;
using namespace std::chrono_literals;
using platform::Json;

namespace
{

constexpr std::int64_t Born = 1'700'000'000'000;
constexpr std::uint64_t Ends = 7;

/// A worker that answers all orders, and a client of it.
class WorkerClientTest : public testing::Test
{
protected:
    WorkerClientTest()
        : io_(1)
        , server_(io_,
                  {boost::asio::ip::make_address("127.0.0.1"), 0},
                  http::ServerOptions{},
                  [this](const http::Request &request, const http::Responder &respond) {
                      if (request.path == "/hold") {
                          received_.push_back(platform::parseObject(request.body).at("last_seen").get<std::uint64_t>());
                      }
                      const Json body{
                          {"clock_ms", 5}, {"born", born_}, {"running", Json::array()}, {"ended", Json::array()}};
                      respond({200, body.dump(), "application/json", {}});
                  })
        , client_(io_, work_, [] { return std::size_t{8}; })
    {
        worker_.id = "i-1";
        worker_.born = Born;
        worker_.address = "127.0.0.1:" + std::to_string(server_.address().port());
    }

    /// Sends a poll that acknowledges `Ends` and returns what the worker received, and whether the answer tells the
    /// same.
    std::uint64_t poll()
    {
        workflow::PollOrder order;
        order.acknowledged = Ends;
        std::optional<workflow::PollAnswer> answer;
        client_.poll(worker_, order, [&answer](const workflow::PollAnswer &given) { answer = given; });
        run([&answer] { return answer.has_value(); });
        EXPECT_TRUE(answer && answer->acknowledged == received_.back());
        return received_.back();
    }
    void start()
    {
        std::optional<workflow::OrderAnswer> answer;
        client_.start(worker_, workflow::StartOrder{}, [&answer](const auto &given) { answer = given; });
        run([&answer] { return answer.has_value(); });
    }
    /// Opens a second connection.
    void startTwice()
    {
        std::size_t answers = 0;
        for (int order = 0; order < 2; ++order) {
            client_.start(worker_, workflow::StartOrder{}, [&answers](const auto &) { ++answers; });
        }
        run([&answers] { return answers == 2; });
    }
    template <typename Condition>
    void run(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + 30s;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            io_.run_one_for(10ms);
            while (work_.runNext()) {
            }
        }
        ASSERT_TRUE(condition()) << "no answer";
    }

    std::int64_t born_ = Born; ///< Of the process that answers.
    workflow::WorkerIdentity worker_;

private:
    boost::asio::io_context io_;
    base::WorkQueue work_{100, 100};
    std::vector<std::uint64_t> received_; ///< End numbers that polls have acknowledged.
    http::Server server_;
    platform::WorkerClient client_;
};

} // namespace

// Guards against ends that get lost: the numbers of an earlier incarnation were acknowledged to the next one.
TEST_F(WorkerClientTest, AcknowledgesEndsOnlyToTheIncarnationThatListedThem)
{
    start();
    EXPECT_EQ(poll(), 0U) << "a connection opened by a start order may lead to another incarnation";
    EXPECT_EQ(poll(), Ends);
    start();
    EXPECT_EQ(poll(), Ends);
    startTwice();
    EXPECT_EQ(poll(), Ends) << "of two idle connections, the one that the worker is known at";
}

// Such workers would list the same ends again and again.
TEST_F(WorkerClientTest, AcknowledgesEndsToWorkersThatTellNoStartTime)
{
    worker_.born = 0;
    EXPECT_EQ(poll(), 0U);
    EXPECT_EQ(poll(), Ends);
    born_ = 0;
    EXPECT_EQ(poll(), Ends);
}

TEST_F(WorkerClientTest, AcknowledgesNothingToAnotherIncarnation)
{
    born_ = Born + 1;
    EXPECT_EQ(poll(), 0U);
    EXPECT_EQ(poll(), 0U);
    worker_.born = Born + 1;
    EXPECT_EQ(poll(), 0U);
    EXPECT_EQ(poll(), Ends);
}
