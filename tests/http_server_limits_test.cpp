#include "http/server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <fmt/core.h>
#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

using namespace yuccawheel;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace
{

constexpr std::size_t MaxBodyBytes = std::size_t{256} * 1024;
constexpr std::size_t MaxReportBytes = std::size_t{64} * 1024;
constexpr std::size_t LargeBytes = std::size_t{200} * 1024; ///< Two of them find memory, three don't.
constexpr auto LongArrival = 700ms; ///< Longer than a request may take to arrive while others need room.

std::string head(std::size_t length, std::string_view path = "/x")
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n", path, length);
}

/// A large request that lacks its last byte.
std::string largePart()
{
    return head(LargeBytes) + std::string(LargeBytes - 1, 'a');
}

/// A server that answers each request with the length of its body, and reads with a large text; and its clients.
class ServerLimitsTest : public testing::Test
{
protected:
    static http::ServerOptions options()
    {
        http::ServerOptions options;
        options.maxBodyBytes = MaxBodyBytes;
        options.bodyLimit = [](std::string_view path) {
            return path == "/report" ? MaxReportBytes : MaxBodyBytes;
        };
        options.maxConnections = 4;
        options.maxRequestMemory = std::size_t{512} * 1024;
        return options;
    }
    /// Connects and sends a text, while the server runs.
    tcp::socket send(std::string_view text)
    {
        tcp::socket client(io_);
        client.connect(address_);
        client.set_option(tcp::no_delay(true));
        write(client, text);
        return client;
    }
    void write(tcp::socket &client, std::string_view text)
    {
        client.non_blocking(true);
        while (!text.empty()) {
            boost::system::error_code error;
            text.remove_prefix(client.write_some(boost::asio::buffer(text), error));
            if (error && error != boost::asio::error::would_block) {
                return;
            }
            runServer();
        }
    }
    /// Runs the server until it has nothing to do for a moment.
    void runServer()
    {
        while (io_.run_one_for(20ms) > 0) {
        }
    }
    /// Returns what has arrived at a client.
    static std::string received(tcp::socket &client)
    {
        std::string text(std::size_t{16} * 1024, '\0');
        boost::system::error_code error;
        text.resize(client.read_some(boost::asio::buffer(text), error));
        return text;
    }

    boost::asio::io_context io_{1};
    http::Server server_{io_,
                         {boost::asio::ip::make_address("127.0.0.1"), 0},
                         options(),
                         [](const http::Request &request, const http::Responder &respond) {
                             if (request.method == "GET") {
                                 respond({200, std::string(LargeBytes, 'a'), "text/plain", {}});
                                 return;
                             }
                             respond({200, fmt::format("{} bytes", request.body.size()), "text/plain", {}});
                         }};
    const tcp::endpoint address_ = server_.address();
};

} // namespace

// Guards against bodies that are held as a whole before anything is checked: those too large for their path are refused
// by their head.
TEST_F(ServerLimitsTest, BodyThatIsTooLargeForItsPathIsRefusedBeforeItArrives)
{
    tcp::socket report = send(head(MaxReportBytes + 1, "/report?a=b"));
    EXPECT_TRUE(received(report).starts_with("HTTP/1.1 413"));
    tcp::socket other = send(head(MaxBodyBytes + 1));
    EXPECT_TRUE(received(other).starts_with("HTTP/1.1 413"));
    tcp::socket largest = send(head(MaxBodyBytes) + std::string(MaxBodyBytes, 'a'));
    EXPECT_TRUE(received(largest).ends_with(fmt::format("{} bytes", MaxBodyBytes)));
    tcp::socket largestReport = send(head(MaxReportBytes, "/report") + std::string(MaxReportBytes, 'a'));
    EXPECT_TRUE(received(largestReport).ends_with(fmt::format("{} bytes", MaxReportBytes)));
}

TEST_F(ServerLimitsTest, BodyWithoutALengthIsRefusedWhenItGrowsTooLarge)
{
    const std::string chunk = fmt::format("{:x}\r\n{}\r\n", 4096, std::string(4096, 'a'));
    const std::string chunkedHead = "POST /report HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    tcp::socket client = send(chunkedHead);
    for (std::size_t sent = 0; sent < MaxReportBytes; sent += 4096) {
        write(client, chunk);
        EXPECT_EQ(received(client), "");
    }
    write(client, chunk);
    EXPECT_TRUE(received(client).starts_with("HTTP/1.1 413"));
    tcp::socket sound = send(chunkedHead + chunk + chunk + "0\r\n\r\n");
    EXPECT_TRUE(received(sound).ends_with("8192 bytes"));
}

// Guards against small heads that take hundreds of kilobytes as fields, for as long as their bodies are missing.
TEST_F(ServerLimitsTest, HeadWithVeryManyFieldsIsRefused)
{
    const auto withFields = [](int count) {
        std::string text = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n";
        for (int field = 0; field < count; ++field) {
            text += "a:\r\n";
        }
        return text + "\r\nab";
    };
    tcp::socket many = send(withFields(3'000));
    EXPECT_TRUE(received(many).starts_with("HTTP/1.1 431"));
    tcp::socket some = send(withFields(50));
    EXPECT_TRUE(received(some).ends_with("2 bytes"));
}

// Guards against processes that exceed their memory limit, as each of many connections holds a large part of a body.
TEST_F(ServerLimitsTest, RequestsThatFindNoMemoryAreRefusedAndSmallOnesAreNot)
{
    tcp::socket first = send(largePart());
    tcp::socket second = send(largePart());
    tcp::socket third = send(largePart());
    const std::string refusal = received(third);
    EXPECT_TRUE(refusal.starts_with("HTTP/1.1 503")) << refusal;
    EXPECT_NE(refusal.find("Retry-After: 1"), std::string::npos);
    EXPECT_NE(refusal.find("not-run"), std::string::npos);
    third.close();
    tcp::socket small = send(head(8'000) + std::string(8'000, 'a'));
    EXPECT_TRUE(received(small).ends_with("8000 bytes"));
    write(first, "a");
    EXPECT_TRUE(received(first).ends_with(fmt::format("{} bytes", LargeBytes)));
    for (int repeated = 0; repeated < 5; ++repeated) {
        write(first, head(LargeBytes) + std::string(LargeBytes, 'a'));
        EXPECT_TRUE(received(first).ends_with(fmt::format("{} bytes", LargeBytes)))
            << "memory of answered requests is free";
    }
}

// Guards against processes that exceed their memory limit, as many clients ask for a large answer and don't read it.
TEST_F(ServerLimitsTest, AnswersToReadsThatFindNoMemoryAreRefused)
{
    const std::string read = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    tcp::socket first = send(largePart());
    tcp::socket second = send(largePart());
    tcp::socket reader = send(read);
    const std::string refusal = received(reader);
    EXPECT_TRUE(refusal.starts_with("HTTP/1.1 503")) << refusal;
    EXPECT_NE(refusal.find("Retry-After: 1"), std::string::npos);
    first.close();
    runServer();
    write(reader, read);
    EXPECT_TRUE(received(reader).starts_with("HTTP/1.1 200"));
}

// Guards against callers that are refused for as long as others hold half of a request.
TEST_F(ServerLimitsTest, RequestsThatHaveBeenArrivingForLongMakeRoomForOthers)
{
    tcp::socket first = send(largePart());
    tcp::socket second = send(largePart());
    std::this_thread::sleep_for(LongArrival);
    tcp::socket whole = send(largePart() + "a");
    EXPECT_TRUE(received(whole).ends_with(fmt::format("{} bytes", LargeBytes)));
    const std::string answer = received(first);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
    EXPECT_NE(answer.find("not-run"), std::string::npos);
    EXPECT_EQ(received(second), "") << "only as many as needed are given up";
}

// A body without a length asks for more memory as it grows, and must not give up itself meanwhile.
TEST_F(ServerLimitsTest, GrowingRequestThatFindsNoMemoryIsRefused)
{
    const auto chunk = [](std::size_t bytes) {
        return fmt::format("{:x}\r\n{}\r\n", bytes, std::string(bytes, 'a'));
    };
    tcp::socket growing = send("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(100));
    std::this_thread::sleep_for(LongArrival);
    tcp::socket first = send(largePart());
    tcp::socket second = send(largePart());
    write(growing, chunk(LargeBytes));
    const std::string answer = received(growing);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
    write(first, "a");
    EXPECT_TRUE(received(first).ends_with(fmt::format("{} bytes", LargeBytes)));
}

TEST_F(ServerLimitsTest, ConnectionsWithPartsOfRequestsMakeRoomForNewOnes)
{
    std::vector<tcp::socket> parts;
    parts.reserve(4);
    for (int number = 0; number < 4; ++number) {
        parts.push_back(send("POST /x HTTP/1.1\r\nHost"));
    }
    std::this_thread::sleep_for(LongArrival);
    tcp::socket late = send(head(1) + "a");
    EXPECT_TRUE(received(late).ends_with("1 bytes"));
    EXPECT_TRUE(received(parts[0]).starts_with("HTTP/1.1 503"));
    EXPECT_EQ(received(parts[1]), "");
}

TEST_F(ServerLimitsTest, RequestsThatArriveTogetherOrInPartsAreAnswered)
{
    tcp::socket client = send(head(3) + "abc" + head(2) + "ab" + head(4) + "a");
    std::string answers = received(client);
    EXPECT_NE(answers.find("3 bytes"), std::string::npos);
    EXPECT_TRUE(answers.ends_with("2 bytes"));
    write(client, "b");
    EXPECT_EQ(received(client), "");
    write(client, "cd" + head(0).substr(0, 10));
    answers = received(client);
    EXPECT_TRUE(answers.ends_with("4 bytes")) << answers;
    write(client, head(0).substr(10));
    answers = received(client);
    EXPECT_TRUE(answers.ends_with("0 bytes")) << answers;
}
