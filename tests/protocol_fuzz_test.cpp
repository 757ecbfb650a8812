#include "protocol/error.h"
#include "protocol/messages.h"
#include "protocol/routing_messages.h"
#include "store/log_entry.h"
#include "store/replication_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <random>
#include <set>

using namespace yuccawheel;
using namespace yuccawheel::protocol;

namespace
{

std::vector<std::string> wellFormedMessages()
{
    Submit submit;
    submit.submission = "s";
    submit.services.emplace_back();
    submit.jobs.emplace_back().deadline = std::chrono::milliseconds(5);
    StateUpdate update;
    update.assigned.emplace_back();
    update.assigned.back().finished.insert(IndexRange{3, 9});
    update.owner = ZoneOwner{};
    RenewZone renew;
    renew.progress.emplace_back();
    coordination::AppendRequest append;
    append.entries.push_back({1, 1, coordination::EntryKind::Application, "data"});
    routing::KeyMessage key;
    key.answer = routing::StoredAnswer{200, "text/plain", "body"};
    return {encode(submit),
            encode(update),
            encode(renew),
            encode(Hello{}),
            encode(KeyNotice{key}),
            encode(UpstreamUpdates{{routing::UpstreamUpdate{}}}),
            encode(ShareNotice{}),
            store::encodeReplication({1, {1, 2}, {3, 4}, 5, append}),
            store::encodeEntry(store::CancelEntry{})};
}

/// Inserts, truncates, repeats or overwrites bytes at random positions.
std::string mutate(std::string bytes, std::mt19937 &random)
{
    for (std::uint32_t i = 0; i <= random() % 4; ++i) {
        const std::size_t at = bytes.empty() ? 0 : random() % bytes.size();
        switch (random() % 4) {
        case 0:
            bytes.insert(at, 1, static_cast<char>(random()));
            break;
        case 1:
            bytes.resize(at);
            break;
        case 2:
            bytes += bytes.substr(at);
            break;
        default:
            if (!bytes.empty()) {
                bytes[at] = static_cast<char>(random());
            }
        }
    }
    return bytes;
}

/// A message that was decoded from untrusted bytes must survive another round of encoding and decoding.
template <typename Message>
void checkRoundTrip(const std::string &bytes)
{
    const auto message = decode<Message>(bytes);
    if (message) {
        RC_ASSERT(decode<Message>(encode(*message)).has_value());
    }
}

} // namespace

RC_GTEST_PROP(InnerProtocol, mutatedMessagesAreDecodedOrRejected, (std::uint32_t seed))
{
    std::mt19937 random(seed);
    const auto samples = wellFormedMessages();
    const std::string bytes = mutate(samples[random() % samples.size()], random);
    checkRoundTrip<Submit>(bytes);
    checkRoundTrip<StateUpdate>(bytes);
    checkRoundTrip<RenewZone>(bytes);
    checkRoundTrip<Hello>(bytes);
    checkRoundTrip<KeyNotice>(bytes);
    checkRoundTrip<UpstreamUpdates>(bytes);
    checkRoundTrip<ShareNotice>(bytes);
    static_cast<void>(store::decodeReplication(bytes));
    static_cast<void>(store::decodeEntry(bytes));
}

TEST(InnerProtocol, wellFormedMessagesAreDecoded)
{
    const auto samples = wellFormedMessages();
    EXPECT_TRUE(decode<Submit>(samples[0]));
    EXPECT_TRUE(decode<StateUpdate>(samples[1]));
    EXPECT_TRUE(store::decodeReplication(samples[7]));
    EXPECT_TRUE(store::decodeEntry(samples[8]));
}

TEST(InnerProtocol, countsAboveThePayloadSizeAreRejectedBeforeAllocation)
{
    const std::string truncatedMapOfManyPairs("\xdf\x03\x8b\0\x01", 5);
    const auto map = decode<std::map<std::string, std::string>>(truncatedMapOfManyPairs, Origin::OwnDisk);
    ASSERT_FALSE(map);
    EXPECT_EQ(map.error().message, "map size overflow");
}

TEST(InnerProtocol, outOfRangeEnumsAreRejected)
{
    RequestError error;
    error.code = static_cast<ErrorCode>(200);
    EXPECT_FALSE(decode<RequestError>(encode(error)));
}

RC_GTEST_PROP(IndexSet,
              behavesLikeStdSet,
              (const std::vector<std::uint8_t> &first, const std::vector<std::uint8_t> &second))
{
    IndexSet left;
    IndexSet right;
    std::set<std::uint32_t> expected;
    for (const std::uint8_t value : first) {
        left.insert(IndexRange{value, value + 3U});
        expected.insert({value, value + 1U, value + 2U});
    }
    for (const std::uint8_t value : second) {
        right.insert(value);
        expected.erase(value);
    }
    left.erase(right);
    RC_ASSERT(left.indices() == std::vector<std::uint32_t>(expected.begin(), expected.end()));
    IndexSet common = left;
    common.intersect(right);
    RC_ASSERT(common.empty());
}
