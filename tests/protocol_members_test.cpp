// Channels between processes over loopback: silence, pauses, incarnations and leaving.

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
const coordination::DetectorSettings Fast{20ms, 60ms, 200ms, 6};

Identity identity(const std::string &node, std::uint64_t incarnation)
{
    return {"test", Role::Entry, node, "a", incarnation};
}

class MembersTest : public testing::Test
{
protected:
    MembersTest()
        : members_(io_, identity("a1", 1), Fast)
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
        const auto end = std::chrono::steady_clock::now() + OverallTimeout;
        while (!condition() && std::chrono::steady_clock::now() < end) {
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

TEST_F(MembersTest, silentChannelIsClosedThoughItsConnectionIsOpen)
{
    Members far(io_, identity("b1", 1), Fast);
    asio::ip::tcp::socket socket(io_);
    socket.connect(listener_.address());
    std::optional<asio::ip::tcp::socket> held;
    offerHandshake(
        std::move(socket),
        far,
        [&held](asio::ip::tcp::socket ready, const Identity &) { held.emplace(std::move(ready)); },
        [](const std::string &reason) { FAIL() << reason; });
    ASSERT_TRUE(runUntil([this] { return opened_ == 1; }));
    EXPECT_TRUE(runUntil([this] { return closed_ == 1; }));
    EXPECT_TRUE(held && held->is_open());
    EXPECT_TRUE(runUntil([this] { return members_.state(identity("b1", 1)) == coordination::PeerState::Suspected; }));
}

TEST_F(MembersTest, processWithoutAChannelIsNotSuspected)
{
    Members far(io_, identity("b1", 1), Fast);
    {
        const Peer first(io_, listener_.address(), far, {});
        const Peer second(io_, listener_.address(), far, {});
        ASSERT_TRUE(
            runUntil([this, &first, &second] { return opened_ == 2 && first.isConnected() && second.isConnected(); }));
    }
    ASSERT_TRUE(runUntil([this] { return closed_ == 2; }));
    const auto end = std::chrono::steady_clock::now() + Fast.maxTimeout * 2;
    runUntil([end] { return std::chrono::steady_clock::now() >= end; });
    EXPECT_EQ(members_.state(identity("b1", 1)), coordination::PeerState::Unknown);
}

TEST_F(MembersTest, pauseOfThisProcessIsNoSilenceOfTheOthers)
{
    Members far(io_, identity("b1", 1), Fast);
    const Peer peer(io_, listener_.address(), far, {});
    ASSERT_TRUE(runUntil([this, &peer] { return opened_ == 1 && peer.isConnected(); }));
    std::this_thread::sleep_for(Fast.maxTimeout * 2);
    const auto end = std::chrono::steady_clock::now() + Fast.maxTimeout * 2;
    runUntil([end] { return std::chrono::steady_clock::now() >= end; });
    EXPECT_EQ(closed_, 0);
    EXPECT_EQ(opened_, 1);
}

TEST_F(MembersTest, earlierIncarnationIsRefusedWhileTheLaterOneLives)
{
    Members paused(io_, identity("b1", 7), Fast);
    const Peer first(io_, listener_.address(), paused, {});
    ASSERT_TRUE(runUntil([&first] { return first.isConnected(); }));
    EXPECT_FALSE(members_.refusal(identity("b1", 7)));
    {
        Members restarted(io_, identity("b1", 9), Fast);
        const Peer second(io_, listener_.address(), restarted, {});
        ASSERT_TRUE(runUntil([this, &second] { return second.isConnected() && closed_ == 1; }))
            << "the channel of the earlier incarnation is closed";
        ASSERT_TRUE(runUntil([this] { return members_.refusal(identity("b1", 7)).has_value(); }));
        EXPECT_FALSE(members_.refusal(identity("b1", 9)));
        ASSERT_TRUE(runUntil([&first] { return !first.isConnected(); }));
        EXPECT_EQ(opened_, 2);
    }
    EXPECT_TRUE(runUntil([this] { return opened_ == 3; })) << "a clock that was set back must not lock a process out";
}

TEST_F(MembersTest, leavingIsKnownAtOnceAndOpensNoChannelAgain)
{
    Members far(io_, identity("b1", 1), {20ms, 50s, 60s, 6});
    const Peer peer(io_, listener_.address(), far, {});
    ASSERT_TRUE(runUntil([this, &peer] { return opened_ == 1 && peer.isConnected(); }));
    bool left = false;
    members_.leave([&left] { left = true; });
    EXPECT_TRUE(runUntil([&left] { return left; }));
    EXPECT_EQ(closed_, 1);
    EXPECT_TRUE(runUntil([&peer] { return !peer.isConnected(); }));
    EXPECT_EQ(far.state(identity("a1", 1)), coordination::PeerState::Left);
    EXPECT_TRUE(members_.refusal(identity("b1", 2)));
}

} // namespace

} // namespace yuccawheel::protocol
