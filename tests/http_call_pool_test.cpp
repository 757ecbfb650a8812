#include "http/call_pool.h"
#include "http/server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

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
                          ++unansweredCalls_;
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

    /// Closes all connections while a call is in progress and another one is queued. Returns their answers.
    std::vector<Answer> closeDuringCalls()
    {
        std::vector<Answer> answers;
        for (int number = 0; number < 2; ++number) {
            pool_.call(
                {"POST", "/never", {}, {}}, 30s, [&answers](Answer given) { answers.push_back(std::move(given)); });
        }
        while (unansweredCalls_ == 0) {
            io_.run_one_for(10ms);
        }
        pool_.closeConnections();
        while (answers.size() < 2) {
            io_.run_one_for(10ms);
        }
        return answers;
    }

    int unansweredCalls_ = 0;

private:
    boost::asio::io_context io_;
    http::Responder unanswered_;
    http::Server server_;
    http::CallPool pool_;
};

/// A server whose answers have as many bytes as the path says, and a pool with little memory for answers.
class AnswerMemoryTest : public testing::Test
{
protected:
    static http::CallPoolOptions options()
    {
        http::CallPoolOptions options;
        options.maxConnections = 8;
        options.memory = std::make_shared<http::MemoryBudget>(MaxAnswerMemory);
        return options;
    }
    /// Makes calls at the same time. Returns the length of each answer; nothing for those that failed.
    std::vector<std::optional<std::size_t>> call(const std::vector<std::size_t> &lengths)
    {
        std::vector<std::optional<std::size_t>> answers(lengths.size());
        std::size_t answered = 0;
        for (std::size_t number = 0; number < lengths.size(); ++number) {
            pool_.call({"POST", "/" + std::to_string(lengths[number]), {}, ""}, 10s, [&, number](const Answer &answer) {
                answers[number] = answer ? std::optional(answer->body.size()) : std::nullopt;
                ++answered;
            });
        }
        const auto end = std::chrono::steady_clock::now() + 20s;
        while (answered < lengths.size() && std::chrono::steady_clock::now() < end) {
            io_.run_one_for(10ms);
        }
        EXPECT_EQ(answered, lengths.size());
        return answers;
    }

    static constexpr std::size_t MaxAnswerMemory = std::size_t{4} * 1024 * 1024;
    boost::asio::io_context io_{1};
    http::Server server_{io_,
                         {boost::asio::ip::make_address("127.0.0.1"), 0},
                         http::ServerOptions{},
                         [](const http::Request &request, const http::Responder &respond) {
                             respond({200, std::string(std::stoul(request.path.substr(1)), 'a'), "text/plain", {}});
                         }};
    http::CallPool pool_{io_, {"127.0.0.1", server_.address().port()}, options()};
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

// Guards against orders to a worker that are sent after it has been given up, and its tasks have been started
// elsewhere: the call that was in progress was sent again on a new connection, as were those in the queue.
TEST_F(CallPoolTest, NoCallIsSentOnceTheConnectionsAreClosed)
{
    const auto first = call("/echo", 30s, 30s);
    ASSERT_TRUE(first && first->has_value());
    for (const Answer &answer : closeDuringCalls()) {
        EXPECT_FALSE(answer.has_value());
    }
    EXPECT_EQ(unansweredCalls_, 1);
    const auto later = call("/echo", 30s, 30s);
    EXPECT_TRUE(later && later->has_value()) << "later calls open a connection";
}

namespace
{

/// Calls a server twice on one connection, and returns the outcome of the second call. The server answers the first one
/// and closes the connection once it has read the second one; if `closesPort`, it accepts no other.
Answer callThatEndsUnanswered(const http::ClientRequest &request, bool closesPort)
{
    using boost::asio::ip::tcp;
    boost::asio::io_context serverIo;
    tcp::acceptor acceptor(serverIo, {boost::asio::ip::make_address("127.0.0.1"), 0});
    const std::uint16_t port = acceptor.local_endpoint().port();
    std::thread server([&] {
        tcp::socket socket = acceptor.accept();
        std::string received;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(received), "\r\n\r\n");
        boost::asio::write(socket, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
        received.clear();
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(received), "\r\n\r\n");
        if (closesPort) {
            acceptor.close();
        }
        socket.close();
    });
    boost::asio::io_context io(1);
    http::CallPool pool(io, {"127.0.0.1", port}, http::CallPoolOptions{1});
    const auto call = [&] {
        std::optional<Answer> answer;
        pool.call(request, 30s, [&answer](Answer given) { answer = std::move(given); });
        while (!answer) {
            io.restart();
            io.run_one_for(10ms);
        }
        return *answer;
    };
    EXPECT_TRUE(call().has_value());
    Answer unanswered = call();
    server.join();
    return unanswered;
}

} // namespace

// Guards against a task that is started twice: its start order was sent again on a new connection, to the next
// incarnation of a worker that had carried out the first one.
TEST(CallPool, CallThatMayNotBeRepeatedIsSentOnce)
{
    // A second attempt would connect and wait, as nobody accepts it.
    const Answer unanswered = callThatEndsUnanswered({"POST", "/", {}, {}, false}, false);
    ASSERT_FALSE(unanswered.has_value());
    EXPECT_EQ(unanswered.error().verdict, base::Verdict::MayHaveRun);
    EXPECT_LT(unanswered.error().timing.endedAfter, 30s);
}

// Guards against a start order that counts as never sent although it crashed the worker: the call was repeated on a new
// connection, which the closed port refused.
TEST(CallPool, CallMayHaveRunIfItsServerEndsBeforeAnswering)
{
    const Answer unanswered = callThatEndsUnanswered({"GET", "/", {}, ""}, true);
    ASSERT_FALSE(unanswered.has_value());
    EXPECT_EQ(unanswered.error().verdict, base::Verdict::MayHaveRun);
    EXPECT_FALSE(unanswered.error().timedOut);
}

namespace
{

/// A server that answers `/late` only when told to, and pools with a common limit. Each pool stands for one worker.
class LimitedPoolsTest : public testing::Test
{
protected:
    static constexpr std::size_t MaxPerPool = 6;

    LimitedPoolsTest()
        : io_(1)
        , server_(io_,
                  {boost::asio::ip::make_address("127.0.0.1"), 0},
                  http::ServerOptions{},
                  [this](const http::Request &request, const http::Responder &respond) {
                      if (request.path == "/late") {
                          late_.push_back(respond);
                      } else {
                          respond({200, "", "text/plain", {}});
                      }
                  })
    {
    }

    void makePools(std::size_t count, std::size_t limit)
    {
        limiter_ = std::make_shared<http::ConnectionLimiter>(io_, [limit] { return limit; });
        addPools(count);
    }
    void addPools(std::size_t count)
    {
        http::CallPoolOptions options;
        options.maxConnections = MaxPerPool;
        options.limiter = limiter_;
        for (std::size_t pool = 0; pool < count; ++pool) {
            pools_.push_back(std::make_unique<http::CallPool>(
                io_, settings::Endpoint{"127.0.0.1", server_.address().port()}, options));
        }
    }
    void send(std::size_t pool, const std::string &path, std::chrono::milliseconds timeout = 30s)
    {
        pools_[pool]->call({"POST", path, {}, ""}, timeout, [this](const Answer &answer) {
            ++(answer ? answered_ : failed_);
            verdict_ = answer ? verdict_ : answer.error().verdict;
        });
    }
    template <typename Condition>
    bool runUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + 30s;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            io_.run_one_for(10ms);
            most_ = std::max(most_, limiter_->open());
        }
        return condition();
    }
    void answerLate()
    {
        for (const http::Responder &respond : std::exchange(late_, {})) {
            respond({200, "", "text/plain", {}});
        }
    }

    boost::asio::io_context io_;
    std::vector<http::Responder> late_;
    http::Server server_;
    std::shared_ptr<http::ConnectionLimiter> limiter_;
    std::vector<std::unique_ptr<http::CallPool>> pools_;
    std::size_t answered_ = 0;
    std::size_t failed_ = 0;
    std::size_t most_ = 0; ///< Connections that were open at a time.
    std::optional<base::Verdict> verdict_; ///< Of the last failed call.
};

} // namespace

// Load pattern: a new leader calls all of many workers at once. Guards against a leader that uses up its file
// descriptors and ends.
TEST_F(LimitedPoolsTest, ManyPoolsKeepTheCommonLimit)
{
    constexpr std::size_t Pools = 40;
    constexpr std::size_t Limit = 30;
    makePools(Pools, Limit);
    for (std::size_t pool = 0; pool < Pools; ++pool) {
        for (std::size_t call = 0; call < MaxPerPool; ++call) {
            send(pool, "/now");
        }
    }
    EXPECT_TRUE(runUntil([&] { return answered_ == Pools * MaxPerPool; }));
    EXPECT_EQ(failed_, 0U);
    EXPECT_LE(most_, Limit);
}

// Each pool keeps a connection for its long poll and one for orders.
TEST_F(LimitedPoolsTest, PoolsShareTheLimitEqually)
{
    constexpr std::size_t Pools = 10;
    makePools(Pools, 2 * Pools);
    for (std::size_t pool = 0; pool < Pools; ++pool) {
        send(pool, "/late");
    }
    ASSERT_TRUE(runUntil([&] { return late_.size() == Pools; }));
    for (std::size_t pool = 0; pool < Pools; ++pool) {
        for (std::size_t call = 0; call < MaxPerPool; ++call) {
            send(pool, "/now");
        }
    }
    EXPECT_TRUE(runUntil([&] { return answered_ == Pools * MaxPerPool; }));
    EXPECT_EQ(most_, 2 * Pools);
    answerLate();
    EXPECT_TRUE(runUntil([&] { return answered_ == Pools * MaxPerPool + Pools; }));
}

// Guards against connections that are closed for one pool and opened again for another, in turn, because the first
// pools keep more than their share.
TEST_F(LimitedPoolsTest, PoolsKeepNoMoreThanTheirShare)
{
    constexpr std::size_t Limit = 12;
    makePools(2, Limit);
    for (std::size_t call = 0; call < MaxPerPool; ++call) {
        send(0, "/late");
    }
    ASSERT_TRUE(runUntil([&] { return late_.size() == MaxPerPool; }));
    addPools(2);
    answerLate();
    ASSERT_TRUE(runUntil([&] { return answered_ == MaxPerPool; }));
    EXPECT_EQ(limiter_->open(), Limit / 4);
    limiter_->expectPools(6);
    for (std::size_t call = 0; call < MaxPerPool; ++call) {
        send(1, "/now");
    }
    ASSERT_TRUE(runUntil([&] { return answered_ == 2 * MaxPerPool; }));
    EXPECT_EQ(limiter_->open(), Limit / 4 + Limit / 6);
}

// Guards against a gang whose members start seconds apart, as an order that gets no answer holds up the next ones.
TEST_F(LimitedPoolsTest, UnansweredCallHoldsUpNoOthersWhileConnectionsAreLeft)
{
    makePools(2, 5);
    send(0, "/late");
    send(0, "/late");
    send(0, "/now");
    EXPECT_TRUE(runUntil([&] { return answered_ == 1; }));
    EXPECT_EQ(late_.size(), 2U);
}

TEST_F(LimitedPoolsTest, CallWithoutAConnectionTimesOutUnsent)
{
    makePools(2, 1);
    send(0, "/late");
    ASSERT_TRUE(runUntil([&] { return late_.size() == 1; }));
    send(1, "/now", 200ms);
    EXPECT_TRUE(runUntil([&] { return failed_ == 1; }));
    EXPECT_EQ(verdict_, base::Verdict::NotRun);
    send(1, "/now");
    answerLate();
    EXPECT_TRUE(runUntil([&] { return answered_ == 2; }));
}

TEST_F(LimitedPoolsTest, RemovedPoolGivesItsConnectionsBack)
{
    makePools(3, 1);
    send(0, "/late");
    ASSERT_TRUE(runUntil([&] { return late_.size() == 1; }));
    send(1, "/now");
    send(2, "/now");
    pools_[1].reset();
    pools_[0].reset();
    EXPECT_TRUE(runUntil([&] { return answered_ == 1; }));
    EXPECT_EQ(failed_, 0U);
}

namespace
{

class ServerLimitTest : public testing::Test
{
protected:
    static constexpr std::size_t Limit = 4;

    ServerLimitTest()
        : io_(1)
        , server_(io_,
                  {boost::asio::ip::make_address("127.0.0.1"), 0},
                  options(),
                  [this](const http::Request &request, const http::Responder &respond) {
                      if (request.path == "/late") {
                          late_.push_back(respond);
                      } else {
                          respond({200, "", "text/plain", {}});
                      }
                  })
        , thread_([this] { io_.run(); })
    {
    }
    ~ServerLimitTest() override
    {
        io_.stop();
        thread_.join();
    }

    static http::ServerOptions options()
    {
        http::ServerOptions options;
        options.maxConnections = Limit;
        return options;
    }
    boost::asio::ip::tcp::socket connect()
    {
        boost::asio::ip::tcp::socket socket(clientIo_);
        socket.connect(server_.address());
        return socket;
    }
    /// Returns whether the server answers over the connection.
    static bool isAnswered(boost::asio::ip::tcp::socket &socket, const std::string &path)
    {
        boost::system::error_code error;
        const std::string request = "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
        boost::asio::write(socket, boost::asio::buffer(request), error);
        std::string answer;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(answer), "\r\n\r\n", error);
        return !error && answer.starts_with("HTTP/1.1 200");
    }

    boost::asio::io_context io_;
    boost::asio::io_context clientIo_;
    std::vector<http::Responder> late_;
    http::Server server_;
    std::thread thread_;
};

} // namespace

// Guards against an operator who finds no connection because idle clients hold them all.
TEST_F(ServerLimitTest, IdleConnectionsMakeRoomForNewOnes)
{
    std::vector<boost::asio::ip::tcp::socket> idle;
    for (std::size_t number = 0; number < Limit; ++number) {
        idle.push_back(connect());
        ASSERT_TRUE(isAnswered(idle.back(), "/"));
    }
    boost::asio::ip::tcp::socket added = connect();
    EXPECT_TRUE(isAnswered(added, "/"));
    EXPECT_FALSE(isAnswered(idle.front(), "/")) << "the one that has been idle for longest is closed";
    EXPECT_TRUE(isAnswered(idle.back(), "/"));
    EXPECT_TRUE(isAnswered(added, "/"));
}

// Guards against processes that exceed their memory limit, as each of many workers sends a large answer.
TEST_F(AnswerMemoryTest, AnswersThatArriveTogetherShareTheMemory)
{
    constexpr std::size_t Large = std::size_t{3} * 1024 * 1024;
    const auto answers = call({Large, Large, Large, 100, 8'000});
    EXPECT_EQ(std::count(answers.begin(), answers.end(), std::optional(Large)), 1);
    EXPECT_EQ(std::count(answers.begin(), answers.end(), std::nullopt), 2);
    EXPECT_EQ(answers[3], 100U) << "small answers have room";
    EXPECT_EQ(answers[4], 8'000U);
    for (int repeated = 0; repeated < 3; ++repeated) {
        EXPECT_EQ(call({Large}), std::vector<std::optional<std::size_t>>{Large}) << "the memory is free again";
    }
}
