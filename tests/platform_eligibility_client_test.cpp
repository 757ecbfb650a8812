#include "http/server.h"
#include "platform/eligibility_client.h"
#include "platform/json_fields.h"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>

using namespace yuccawheel;
using namespace std::chrono_literals;
using platform::Json;

// Guards against gateways that end one after the other: an earlier version may have let a worker join whose id is not
// UTF-8. Writing the query must not fail, and its other workers get their tickets.
TEST(EligibilityClient, QueriesAboutWorkersWithUnreadableIds)
{
    boost::asio::io_context io(1);
    http::Server service(io,
                         {boost::asio::ip::make_address("127.0.0.1"), 0},
                         http::ServerOptions{},
                         [](const http::Request &request, const http::Responder &respond) {
                             const Json body = platform::parseObject(request.body);
                             Json good = Json::array();
                             for (const Json &worker : body.at("workers")) {
                                 good.push_back(Json::array({worker, "ticket"}));
                             }
                             respond({200, Json{{"good", good}}.dump(), "application/json", {}});
                         });
    platform::EligibilityClient client(io, {"127.0.0.1", service.address().port()});
    std::optional<workflow::EligibilityRows> answer;
    client.query("1.0.0", {"i-\xc3\x28\xff", "i-1"}, 30s, [&answer](workflow::EligibilityRows rows) {
        answer = std::move(rows);
    });
    const auto end = std::chrono::steady_clock::now() + 30s;
    while (!answer && std::chrono::steady_clock::now() < end) {
        io.run_one_for(10ms);
    }
    ASSERT_TRUE(answer && *answer) << "no answer";
    ASSERT_EQ((*answer)->size(), 2U);
    EXPECT_EQ((*answer)->back().first, "i-1");
}
