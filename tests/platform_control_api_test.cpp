#include "http/call_pool.h"
#include "platform/control_api.h"

#include <boost/asio/ip/tcp.hpp>
#include <fmt/core.h>
#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

using namespace yuccawheel;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t LargestBytes = std::size_t{4} * 1024 * 1024;
constexpr const char *Report = R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":8,
    "state":"ready","capacity":{"cpu":16000,"mem_mb":32768},"labels":["a","r1-3"],"clock_ms":482113,"seq":4,
    "born":1700000000000,"cold_remaining_ms":0})";

/// A valid configuration of nearly 4 MiB.
std::string largestConfiguration()
{
    std::string text = R"({"version":7,"services":[{"name":"s"}],"limits":{},"routes":[)";
    for (int number = 0; text.size() < LargestBytes - 300; ++number) {
        text += fmt::format(
            R"({}{{"name":"r-{}","host":"a.example","path_prefix":"/p{}/","timeout_ms":3000,"slo_ms":250,"service":"s"}})",
            number == 0 ? "" : ",",
            number,
            number);
    }
    return text + "]}";
}

/// Takes all reports and configurations, and notes their order.
class Handler : public workflow::ControlHandler
{
public:
    void report(const workflow::WorkerReport & /*report*/,
                std::function<void(tl::expected<workflow::ReportWorkerReply, workflow::Unanswered>)> done) override
    {
        handled.emplace_back("report");
        done(workflow::ReportWorkerReply{});
    }
    void putConfiguration(
        workflow::Configuration configuration,
        std::function<void(tl::expected<workflow::PutConfigurationReply, workflow::Unanswered>)> done) override
    {
        handled.push_back(fmt::format("configuration with {} routes", configuration.routes.size()));
        done(workflow::PutConfigurationReply{configuration.version});
    }
    void getConfiguration(
        std::function<void(tl::expected<workflow::GetConfigurationReply, workflow::Unanswered>)> done) override
    {
        done(workflow::GetConfigurationReply{});
    }

    std::vector<std::string> handled;
};

class ControlApiTest : public testing::Test
{
protected:
    ControlApiTest()
    {
        boost::asio::ip::tcp::acceptor free(io_, {boost::asio::ip::make_address("127.0.0.1"), 0});
        const auto address = free.local_endpoint();
        free.close();
        api_.emplace(io_, address, work_, handler_, 16);
        pool_.emplace(io_, settings::Endpoint{"127.0.0.1", address.port()}, http::CallPoolOptions{16});
    }
    void post(const std::string &path, const std::string &body)
    {
        pool_->call({"POST", path, {}, body, false}, 20s, [this, path](const auto &answer) {
            answers_.push_back(fmt::format("{} {}", path, answer ? answer->status : 0));
        });
    }
    void runUntilAnswered(std::size_t answers)
    {
        const auto end = std::chrono::steady_clock::now() + 30s;
        while (answers_.size() < answers && std::chrono::steady_clock::now() < end) {
            io_.run_one_for(10ms);
            while (work_.runNext()) {
            }
        }
        ASSERT_EQ(answers_.size(), answers);
    }

    boost::asio::io_context io_{1};
    base::WorkQueue work_{100, 100};
    Handler handler_;
    std::optional<platform::ControlApi> api_;
    std::optional<http::CallPool> pool_;
    std::vector<std::string> answers_;
};

} // namespace

// Guards against reports, and with them elections and leases, that wait while a large configuration is decoded.
TEST_F(ControlApiTest, ReportsAreHandledWhileALargeConfigurationIsDecoded)
{
    const std::string configuration = largestConfiguration();
    const std::string deep = R"({"version":8,"routes":)" + std::string(200'000, '[') + std::string(200'000, ']') + "}";
    post("/config/put", configuration);
    post("/config/put", deep);
    while (handler_.handled.empty()) {
        post("/instances/i-1/heartbeat", Report);
        runUntilAnswered(answers_.size() + 1);
    }
    EXPECT_EQ(handler_.handled.front(), "report");
    runUntilAnswered(answers_.size());
}

TEST_F(ControlApiTest, LargestConfigurationIsTakenAndUnreadableOnesAreRefused)
{
    const std::string deep = R"({"version":8,"routes":)" + std::string(200'000, '[') + std::string(200'000, ']') + "}";
    post("/config/put", largestConfiguration());
    runUntilAnswered(1);
    EXPECT_EQ(answers_.back(), "/config/put 200");
    post("/config/put", deep);
    runUntilAnswered(2);
    EXPECT_EQ(answers_.back(), "/config/put 400");
    post("/config/put", std::string(LargestBytes, '['));
    runUntilAnswered(3);
    EXPECT_EQ(answers_.back(), "/config/put 400");
    post("/config/put", std::string(LargestBytes + 1, '['));
    runUntilAnswered(4);
    EXPECT_EQ(answers_.back(), "/config/put 413");
    post("/config/put", largestConfiguration());
    runUntilAnswered(5);
    EXPECT_EQ(answers_.back(), "/config/put 200") << "sent again";
}

// Guards against an answer to a configuration that is still being decoded when its server ends.
TEST_F(ControlApiTest, ConfigurationInProgressEndsWithItsServer)
{
    post("/config/put", largestConfiguration());
    for (int turn = 0; turn < 50; ++turn) {
        io_.run_one_for(1ms);
    }
    api_.reset();
    runUntilAnswered(1);
    EXPECT_EQ(answers_.back(), "/config/put 0");
}
