// Tests channels over loopback: heartbeat timeouts, pauses of a process, incarnations and leaving.

#include "protocol/handshake.h"
#include "protocol/listener.h"
#include "protocol/members.h"
#include "protocol/peer.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <functional>
#include <optional>
#include <string>
#include <thread>

namespace yuccawheel::protocol
{

namespace
{

using namespace std::chrono_literals;
namespace asio = boost::asio;

constexpr std::chrono::seconds OverallTimeout{60};
const coordination::DetectorSettings FastDetection{20ms, 60ms, 200ms, 6};

Identity identity(const std::string &node, std::uint64_t incarnation)
{
    return {"test", Role::Entry, node, "a", incarnation};
}

class MembersTest : public testing::Test
{
protected:
    MembersTest()
        : members_(io_, identity("a1", 1), FastDetection)
        , listener_(io_, {asio::ip::make_address("127.0.0.1"), 0}, members_, callbacks())
    {
    }

    Listener::Callbacks callbacks()
    {
        Listener::Callbacks callbacks;
        callbacks.opened = [this](const ChannelPtr &) {
            ++opened_;
        };
        callbacks.closed = [this](const ChannelPtr &) {
            ++closed_;
        };
        return callbacks;
    }

    bool runUntil(const std::function<bool()> &condition)
    {
        const auto deadline = std::chrono::steady_clock::now() + OverallTimeout;
        while (!condition() && std::chrono::steady_clock::now() < deadline) {
            io_.run_one_for(10ms);
        }
        return condition();
    }

    asio::io_context io_;
    Members members_;
    int opened_ = 0;
    int closed_ = 0;
    Listener listener_;
};

TEST_F(MembersTest, channelWithoutHeartbeatsIsClosedAlthoughItsConnectionIsOpen)
{
    Members remote(io_, identity("b1", 1), FastDetection);
    asio::ip::tcp::socket socket(io_);
    socket.connect(listener_.address());
    std::optional<asio::ip::tcp::socket> heldSocket;
    offerHandshake(
        std::move(socket),
        remote,
        [&heldSocket](asio::ip::tcp::socket ready, const Identity &) { heldSocket.emplace(std::move(ready)); },
        [](const std::string &reason) { FAIL() << reason; });
    ASSERT_TRUE(runUntil([this] { return opened_ == 1; }));
    EXPECT_TRUE(runUntil([this] { return closed_ == 1; }));
    EXPECT_TRUE(heldSocket && heldSocket->is_open());
    EXPECT_TRUE(runUntil([this] { return members_.state(identity("b1", 1)) == coordination::PeerState::Suspected; }));
}

TEST_F(MembersTest, processWithoutChannelsIsNotSuspected)
{
    Members remote(io_, identity("b1", 1), FastDetection);
    {
        const Peer first(io_, listener_.address(), remote, {});
        const Peer second(io_, listener_.address(), remote, {});
        ASSERT_TRUE(
            runUntil([this, &first, &second] { return opened_ == 2 && first.isConnected() && second.isConnected(); }));
    }
    ASSERT_TRUE(runUntil([this] { return closed_ == 2; }));
    const auto deadline = std::chrono::steady_clock::now() + FastDetection.maxTimeout * 2;
    runUntil([deadline] { return std::chrono::steady_clock::now() >= deadline; });
    EXPECT_EQ(members_.state(identity("b1", 1)), coordination::PeerState::Unknown);
}

TEST_F(MembersTest, pauseOfThisProcessDoesNotTimeOutItsPeers)
{
    Members remote(io_, identity("b1", 1), FastDetection);
    const Peer peer(io_, listener_.address(), remote, {});
    ASSERT_TRUE(runUntil([this, &peer] { return opened_ == 1 && peer.isConnected(); }));
    std::this_thread::sleep_for(FastDetection.maxTimeout * 2);
    const auto deadline = std::chrono::steady_clock::now() + FastDetection.maxTimeout * 2;
    runUntil([deadline] { return std::chrono::steady_clock::now() >= deadline; });
    EXPECT_EQ(closed_, 0);
    EXPECT_EQ(opened_, 1);
}

TEST_F(MembersTest, earlierIncarnationIsRejectedWhileTheLaterOneIsAlive)
{
    Members paused(io_, identity("b1", 7), FastDetection);
    const Peer first(io_, listener_.address(), paused, {});
    ASSERT_TRUE(runUntil([&first] { return first.isConnected(); }));
    EXPECT_FALSE(members_.rejectionReason(identity("b1", 7)));
    {
        Members restarted(io_, identity("b1", 9), FastDetection);
        const Peer second(io_, listener_.address(), restarted, {});
        ASSERT_TRUE(runUntil([this, &second] { return second.isConnected() && closed_ == 1; }))
            << "the channel of the earlier incarnation must be closed";
        ASSERT_TRUE(runUntil([this] { return members_.rejectionReason(identity("b1", 7)).has_value(); }));
        EXPECT_FALSE(members_.rejectionReason(identity("b1", 9)));
        ASSERT_TRUE(runUntil([&first] { return !first.isConnected(); }));
        EXPECT_EQ(opened_, 2);
    }
    EXPECT_TRUE(runUntil([this] { return opened_ == 3; })) << "a clock that was set back must not lock a process out";
}

TEST_F(MembersTest, leavingProcessIsMarkedAtOnceAndRejectsNewChannels)
{
    Members remote(io_, identity("b1", 1), {20ms, 50s, 60s, 6});
    const Peer peer(io_, listener_.address(), remote, {});
    ASSERT_TRUE(runUntil([this, &peer] { return opened_ == 1 && peer.isConnected(); }));
    bool left = false;
    members_.leave([&left] { left = true; });
    EXPECT_TRUE(runUntil([&left] { return left; }));
    EXPECT_EQ(closed_, 1);
    EXPECT_TRUE(runUntil([&peer] { return !peer.isConnected(); }));
    EXPECT_EQ(remote.state(identity("a1", 1)), coordination::PeerState::Left);
    EXPECT_TRUE(members_.rejectionReason(identity("b1", 2)));
}

} // namespace

} // namespace yuccawheel::protocol
