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

std::vector<std::string> wellFormed()
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

/// Changes, drops, doubles or adds bytes.
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

/// What is read from untrusted bytes must be writable and readable again.
template <typename Message>
void readAll(const std::string &bytes)
{
    const auto message = decode<Message>(bytes);
    if (message) {
        RC_ASSERT(decode<Message>(encode(*message)).has_value());
    }
}

} // namespace

RC_GTEST_PROP(InnerProtocol, anyBytesAreReadOrRefused, (std::uint32_t seed))
{
    std::mt19937 random(seed);
    const auto samples = wellFormed();
    const std::string bytes = mutate(samples[random() % samples.size()], random);
    readAll<Submit>(bytes);
    readAll<StateUpdate>(bytes);
    readAll<RenewZone>(bytes);
    readAll<Hello>(bytes);
    readAll<KeyNotice>(bytes);
    readAll<UpstreamUpdates>(bytes);
    readAll<ShareNotice>(bytes);
    static_cast<void>(store::decodeReplication(bytes));
    static_cast<void>(store::decodeEntry(bytes));
}

TEST(InnerProtocol, wellFormedMessagesAreRead)
{
    const auto samples = wellFormed();
    EXPECT_TRUE(decode<Submit>(samples[0]));
    EXPECT_TRUE(decode<StateUpdate>(samples[1]));
    EXPECT_TRUE(store::decodeReplication(samples[7]));
    EXPECT_TRUE(store::decodeEntry(samples[8]));
}

TEST(InnerProtocol, countsBeyondTheBytesAreRefusedBeforeTheyAreAllocatedFor)
{
    const std::string mapOfManyPairs("\xdf\x03\x8b\0\x01", 5);
    const auto map = decode<std::map<std::string, std::string>>(mapOfManyPairs, Origin::OwnDisk);
    ASSERT_FALSE(map);
    EXPECT_EQ(map.error().message, "map size overflow");
}

TEST(InnerProtocol, enumsOutsideTheirRangeAreRefused)
{
    RequestError error;
    error.code = static_cast<ErrorCode>(200);
    EXPECT_FALSE(decode<RequestError>(encode(error)));
}

RC_GTEST_PROP(IndexSet,
              agreesWithASetOfNumbers,
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
    IndexSet both = left;
    both.intersect(right);
    RC_ASSERT(both.empty());
}
