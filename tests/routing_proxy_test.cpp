#include "fakes/fake_upstream.h"
#include "fakes/http_client.h"
#include "http/proxy_server.h"
#include "routing/zone_key_store.h"

#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <chrono>
#include <future>
#include <thread>

using namespace yuccawheel;
using namespace std::chrono_literals;
using fakes::ClientAnswer;
using fakes::FakeUpstream;
using fakes::FakeUpstreamOptions;
using fakes::sendRaw;
using fakes::sendRequest;

namespace
{

/// A proxy with fake upstreams, all in this process.
class ProxyTest : public testing::Test
{
protected:
    void startProxy(http::ProxyOptions options = {})
    {
        options.router.entry = "a";
        options.router.zone = "z1";
        options.router.entries = {{"a", "z1"}};
        proxy_ = std::make_unique<http::ProxyServer>(std::move(options), keys_);
        port_ = proxy_->start().value();
    }
    void addUpstream(FakeUpstreamOptions options = {})
    {
        options.executor = "e" + std::to_string(upstreams_.size());
        upstreams_.push_back(std::make_unique<FakeUpstream>(options));
        sendHeartbeat(*upstreams_.back());
    }
    void sendHeartbeat(const FakeUpstream &upstream)
    {
        std::promise<bool> done;
        proxy_->applyHeartbeat(upstream.announcement(), [&](auto result) { done.set_value(result.has_value()); });
        ASSERT_TRUE(done.get_future().get());
    }

    /// Returns how many requests count as answered, once they are as many as expected. A client may have its answer
    /// before the proxy's thread counts it.
    std::uint64_t answeredRequests(std::uint64_t expected) const
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
        while (proxy_->statistics().answered < expected && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return proxy_->statistics().answered;
    }

    std::shared_ptr<routing::KeyStore> keys_;
    std::unique_ptr<http::ProxyServer> proxy_;
    std::vector<std::unique_ptr<FakeUpstream>> upstreams_;
    std::uint16_t port_ = 0;
};

const std::string RequestHead = "GET /serve/loan-check/x HTTP/1.1\r\nHost: a\r\n";

} // namespace

TEST_F(ProxyTest, answersAreCompleteAndHaveAVerdict)
{
    startProxy();
    addUpstream();
    const ClientAnswer answer = sendRequest(port_, "GET", "/serve/loan-check/van/7?x=1");
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.verdict, "ran");
    EXPECT_EQ(answer.body, "ok /van/7?x=1");
    const std::string large(3'000'000, 'q');
    EXPECT_TRUE(sendRequest(port_, "POST", "/serve/loan-check/echo", {{"Yw-Repeatable", "yes"}}, large).body == large);
    EXPECT_EQ(sendRequest(port_, "GET", "/serve/loan-check/bytes/5000000").body.size(), 5'000'000);
    EXPECT_EQ(sendRequest(port_, "HEAD", "/serve/loan-check/x").status, 200);
    EXPECT_EQ(answeredRequests(4), 4);
}

TEST_F(ProxyTest, failuresSayWhetherTheRequestMayHaveRun)
{
    startProxy();
    EXPECT_EQ(sendRequest(port_, "GET", "/serve/loan-check/x").status, 404);
    addUpstream();
    const ClientAnswer cut = sendRequest(port_, "POST", "/serve/loan-check/close", {{"Yw-Repeatable", "yes"}});
    EXPECT_EQ(cut.status, 502);
    EXPECT_EQ(cut.verdict, "may-have-run");
    EXPECT_EQ(sendRequest(port_, "GET", "/serve/loan-check/cut").status, 0)
        << "a truncated answer must not look complete";
    const ClientAnswer refused = sendRequest(port_, "GET", "/serve/loan-check/refuse");
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(refused.verdict, "not-run");
    EXPECT_EQ(refused.retryAfter, "1");
    const ClientAnswer late = sendRequest(port_, "GET", "/serve/loan-check/stall", {{"Yw-Timeout-Ms", "50"}});
    EXPECT_EQ(late.status, 504);
    EXPECT_EQ(late.verdict, "may-have-run");
    EXPECT_EQ(sendRequest(port_, "GET", "/serve/loan-check/error").verdict, "ran");
}

TEST_F(ProxyTest, slotsAreNeverExceededAndLateAnswersAreDropped)
{
    startProxy();
    for (const std::uint32_t slots : {2U, 3U}) {
        FakeUpstreamOptions options;
        options.slots = slots;
        options.connections = slots;
        options.delay = 3ms;
        addUpstream(options);
    }
    std::vector<std::thread> callers;
    callers.reserve(12);
    std::atomic<int> wrong{0};
    std::atomic<int> answered{0};
    for (int caller = 0; caller < 12; ++caller) {
        callers.emplace_back([&, caller] {
            for (int i = 0; i < 40; ++i) {
                const std::string path = "/" + std::to_string(caller) + "." + std::to_string(i);
                const bool late = i % 8 == 7;
                const auto answer = sendRequest(port_,
                                                "GET",
                                                "/serve/loan-check" + (late ? std::string("/delay/40") : path),
                                                {{"Yw-Timeout-Ms", late ? "15" : "5000"}});
                answered += answer.status == 200 ? 1 : 0;
                wrong += answer.status == 200 && answer.body != "ok " + path ? 1 : 0;
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    EXPECT_EQ(wrong, 0);
    EXPECT_EQ(answered, 12 * 35);
    EXPECT_LE(upstreams_[0]->counts().maxRunning, 2);
    EXPECT_LE(upstreams_[1]->counts().maxRunning, 3);
    EXPECT_LE(upstreams_[0]->counts().maxConnections, 2);
    EXPECT_LE(upstreams_[1]->counts().maxConnections, 3);
}

TEST_F(ProxyTest, malformedRequestsAreRefusedAndAffectNoOthers)
{
    http::ProxyOptions options;
    options.limits.maxBodyBytes = 1000;
    options.limits.headTimeout = 200ms;
    options.limits.bodyReadTimeout = 200ms;
    startProxy(options);
    addUpstream();
    const std::vector<std::pair<std::string, std::string>> cases{
        {"BROKEN\r\n\r\n", "400"},
        {RequestHead + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nx", "400"},
        {RequestHead + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
        {RequestHead + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", "400"},
        {RequestHead + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "501"},
        {RequestHead + "Transfer-Encoding: xchunked\r\n\r\n", "501"},
        {RequestHead + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
        {RequestHead + "Content-Length: -1\r\n\r\n", "400"},
        {RequestHead + "Content-Length: 5000\r\n\r\n", "413"},
        {RequestHead + "Transfer-Encoding: chunked\r\n\r\nffffff\r\n" + std::string(2000, 'x'), "413"},
        {RequestHead + "X: " + std::string(20'000, 'x') + "\r\n\r\n", "431"},
        {RequestHead + "Host: b\r\n\r\n", "400"},
        {RequestHead + "Yw-Urgency: soon\r\n\r\n", "400"},
        {RequestHead + "Yw-Urgency: urgent\r\nYw-Urgency: bulk\r\n\r\n", "400"},
        {RequestHead + "Yw-Timeout-Ms: 99999999\r\n\r\n", "400"},
        {RequestHead + "Content-Length: 10\r\n\r\nslow", "408"},
        {"GET /serve/loan-check/slow HTT", "408"},
        {"GET /other HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", "404"},
        {"POST /serve/loan-check/x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", "400"},
        {"GET /serve/loan-check/x HTTP/1.0\r\nHost: a\r\nConnection: close\r\n\r\n", "505"},
    };
    for (const auto &[text, status] : cases) {
        const std::string answer = sendRaw(port_, text);
        EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 " + status) << text.substr(0, 200);
        EXPECT_NE(answer.find("Yw-Verdict: not-run"), std::string::npos) << text.substr(0, 200);
        EXPECT_EQ(answer.find("HTTP/1.1", 1), std::string::npos) << "one answer only: " << text.substr(0, 200);
    }
    EXPECT_EQ(upstreams_[0]->counts().requests, 0);
    EXPECT_EQ(sendRequest(port_, "GET", "/serve/loan-check/x").status, 200);
}

TEST_F(ProxyTest, aKeyRunsOnceAndAResendGetsTheStoredAnswer)
{
    routing::ZoneKeysOptions options;
    options.entry = "a";
    options.zone = "z1";
    options.entries = {{"a", "z1"}};
    const auto store = std::make_shared<routing::ZoneKeyStore>(options, nullptr, nullptr);
    keys_ = store;
    startProxy();
    addUpstream();
    const auto post = [&](const std::string &path, const std::string &key, const std::string &body) {
        return sendRequest(port_, "POST", "/serve/loan-check" + path, {{"Yw-Key", key}}, body);
    };
    const std::string key = store->issue();
    EXPECT_EQ(post("/echo", key, "one").body, "one");
    const ClientAnswer again = post("/echo", key, "one");
    EXPECT_EQ(again.status, 200);
    EXPECT_EQ(again.verdict, "ran");
    EXPECT_EQ(again.body, "one");
    EXPECT_EQ(post("/echo", key, "two").status, 409);
    const std::string lost = store->issue();
    EXPECT_EQ(post("/close", lost, "x").verdict, "may-have-run");
    EXPECT_EQ(post("/close", lost, "x").verdict, "may-have-run");
    const std::string refused = store->issue();
    EXPECT_EQ(post("/refuse", refused, "x").verdict, "not-run");
    EXPECT_EQ(post("/refuse", refused, "x").verdict, "not-run") << "a key whose request did not run can be used again";
    const ClientAnswer own = post("/echo", "chosen-by-the-caller", "x");
    EXPECT_EQ(own.status, 504);
    EXPECT_EQ(own.verdict, "may-have-run") << "without an issued key, an earlier run can't be ruled out";
    const auto counts = upstreams_[0]->counts();
    EXPECT_LE(counts.requests, 2 + 2 * 3) << "refused attempts may be repeated";
}

TEST_F(ProxyTest, aDrainFinishesRequestsAndReportsThoseCutOff)
{
    for (const bool stalls : {false, true}) {
        upstreams_.clear();
        startProxy();
        addUpstream();
        EXPECT_EQ(sendRequest(port_, "GET", "/serve/loan-check/x").status, 200);
        ClientAnswer answer;
        std::thread caller([&] {
            answer = sendRequest(port_, "GET", stalls ? "/serve/loan-check/stall" : "/serve/loan-check/delay/1500");
        });
        while (proxy_->statistics().active == 0) {
            std::this_thread::yield();
        }
        std::promise<std::size_t> cut;
        proxy_->drain(1s, stalls ? 1500ms : 10s, [&](http::DrainReport report) { cut.set_value(report.cutRequests); });
        while (proxy_->isReady()) {
            std::this_thread::yield();
        }
        EXPECT_EQ(sendRequest(port_, "GET", "/serve/loan-check/x").status, 200)
            << "must serve as before during the delay";
        EXPECT_EQ(cut.get_future().get(), stalls ? 1 : 0);
        caller.join();
        EXPECT_EQ(answer.status, stalls ? 504 : 200);
        EXPECT_EQ(answer.verdict, stalls ? "may-have-run" : "ran");
        EXPECT_EQ(sendRequest(port_, "GET", "/serve/loan-check/x").status, 0)
            << "must accept no new connections after the drain";
    }
}

TEST_F(ProxyTest, nothingIsSentToAnUpstreamThatLeavesDuringConnect)
{
    http::ProxyOptions options;
    options.limits.connectTimeout = 30s;
    startProxy(std::move(options));
    boost::asio::io_context context;
    const auto loopback = boost::asio::ip::address_v4::loopback();
    boost::asio::ip::tcp::acceptor acceptor(context, {loopback, 0});
    acceptor.listen(0);
    // A backlog of zero holds one connection. The proxy's connection is established only once that one is accepted.
    boost::asio::ip::tcp::socket filler(context);
    filler.connect(acceptor.local_endpoint());
    routing::UpstreamAnnouncement upstream;
    upstream.executor = "e0";
    upstream.incarnation = 1;
    upstream.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    upstream.slots = 1;
    upstream.connections = 1;
    upstream.services = {"loan-check"};
    upstream.running = 0;
    const auto sendUpstreamHeartbeat = [&] {
        std::promise<void> done;
        proxy_->applyHeartbeat(upstream, [&](auto) { done.set_value(); });
        done.get_future().get();
    };
    sendUpstreamHeartbeat();
    auto answer = std::async(std::launch::async, [&] {
        return sendRequest(port_, "GET", "/serve/loan-check/x", {{"Yw-Timeout-Ms", "5000"}});
    });
    while (proxy_->statistics().router.dispatched == 0) {
        ASSERT_EQ(answer.wait_for(1ms), std::future_status::timeout) << "refused before any dispatch";
    }
    upstream.state = routing::UpstreamState::Leaving;
    sendUpstreamHeartbeat();
    acceptor.accept();
    auto late = acceptor.accept();
    std::array<char, 64> bytes{};
    boost::system::error_code error;
    EXPECT_EQ(late.read_some(boost::asio::buffer(bytes), error), 0);
    EXPECT_EQ(answer.get().verdict, "not-run");
}

RC_GTEST_PROP(CallerRequest, anyTextIsParsedSafely, ())
{
    const auto text = [] {
        return *rc::gen::oneOf(rc::gen::arbitrary<std::string>(),
                               rc::gen::element<std::string>("", "yes", "no", "urgent", "bulk", "10", "-1", "a b"));
    };
    const std::string target = *rc::gen::element<std::string>("/serve/", "/serve/s", "/serve/s/", "") + text();
    const std::string repeatable = text();
    const std::string key = text();
    const std::string urgency = text();
    const std::string timeout = text();
    const std::string caller = text();
    const auto request =
        http::parseCallerRequest(target, *rc::gen::arbitrary<bool>(), {repeatable, key, urgency, timeout, caller}, {});
    if (request) {
        RC_ASSERT(request->rest.starts_with('/'));
        RC_ASSERT(!request->service.empty() && request->service.find('/') == std::string_view::npos);
        RC_ASSERT(request->repeatable || !request->key.empty());
        RC_ASSERT(request->timeout > 0ms && request->timeout <= 60s);
        RC_ASSERT((target + key + caller).find_first_of("\r\n") == std::string::npos);
    } else {
        RC_ASSERT(request.error().status == 400 || request.error().status == 404);
    }
}
