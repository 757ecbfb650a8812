#include "daemon/event_loop.h"

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <string>

using namespace yuccawheel;
using namespace std::chrono_literals;
using base::WorkKind;

namespace
{

void spin(std::chrono::microseconds duration)
{
    const auto end = std::chrono::steady_clock::now() + duration;
    while (std::chrono::steady_clock::now() < end) {
    }
}

} // namespace

// Guards against answers that wait because the items of another kind are longer: turns of one item each gave committed
// entries most of the time.
TEST(WorkQueue, KindsTakeTurnsOfEqualTime)
{
    base::WorkQueue work(1'000, 1'000);
    std::size_t answers = 0;
    std::size_t answersWhenDone = 0;
    int entries = 0;
    for (int item = 0; item < 4; ++item) {
        work.post(WorkKind::State, [&] {
            spin(4 * base::WorkQueue::Turn);
            answersWhenDone = ++entries == 4 ? answers : 0;
        });
    }
    for (int item = 0; item < 1'000; ++item) {
        work.post(WorkKind::Answers, [&answers] {
            spin(base::WorkQueue::Turn / 10);
            ++answers;
        });
    }
    while (work.runNext()) {
    }
    EXPECT_EQ(answers, 1'000U);
    EXPECT_GE(answersWhenDone, 3U) << "between the entries";
    EXPECT_LE(answersWhenDone, 3 * 10U) << "no more than a turn after each entry";
}

TEST(WorkQueue, ItemsOfOneKindKeepTheirOrder)
{
    base::WorkQueue work(100, 100);
    std::string order;
    for (const char item : {'a', 'b', 'c'}) {
        work.post(WorkKind::Requests, [&order, item] { order += item; });
    }
    while (work.runNext()) {
    }
    EXPECT_EQ(order, "abc");
    EXPECT_TRUE(work.empty());
}

TEST(WorkQueue, RefusesMoreRequestsThanItsLimitButNoAnswers)
{
    base::WorkQueue work(2, 1);
    const auto nothing = [] {
    };
    EXPECT_TRUE(work.post(WorkKind::Requests, nothing));
    EXPECT_TRUE(work.post(WorkKind::Requests, nothing));
    EXPECT_FALSE(work.post(WorkKind::Requests, nothing));
    EXPECT_TRUE(work.post(WorkKind::Reports, nothing));
    EXPECT_FALSE(work.post(WorkKind::Reports, nothing));
    for (int item = 0; item < 10; ++item) {
        EXPECT_TRUE(work.post(WorkKind::Answers, nothing));
    }
    while (work.runNext()) {
    }
    EXPECT_TRUE(work.post(WorkKind::Requests, nothing));
    EXPECT_TRUE(work.post(WorkKind::Reports, nothing));
}

// Guards against operators, votes and heartbeats that wait behind all reports, requests and answers that have arrived.
TEST(EventLoop, HandlersWaitForOneTurnOfQueuedWorkAtMost)
{
    constexpr int Items = 100;
    boost::asio::io_context io(1);
    const auto guard = boost::asio::make_work_guard(io);
    base::WorkQueue work(Items, Items);
    int done = 0;
    int doneWhenHandled = -1;
    for (int item = 0; item < Items; ++item) {
        work.post(WorkKind::Reports, [&] {
            spin(daemon::MaxTurn);
            if (++done == 10) {
                boost::asio::post(io, [&] { doneWhenHandled = done; });
            } else if (done == Items) {
                io.stop();
            }
        });
    }
    daemon::runEventLoop(io, work);
    EXPECT_EQ(done, Items);
    EXPECT_EQ(doneWhenHandled, 10);
}

TEST(EventLoop, QueuedWorkIsDoneWhileHandlersAreAlwaysDue)
{
    boost::asio::io_context io(1);
    base::WorkQueue work(1, 1);
    std::function<void()> again = [&] {
        boost::asio::post(io, again);
    };
    again();
    work.post(WorkKind::Requests, [&io] { io.stop(); });
    daemon::runEventLoop(io, work);
    EXPECT_TRUE(work.empty());
}
