#include "routing/zone_keys.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>
#include <random>
#include <set>

using namespace yuccawheel;
using namespace yuccawheel::routing;
using namespace std::chrono_literals;

namespace
{

const std::vector<EntryInfo> Entries{{"a", "z1"}, {"b", "z1"}, {"c", "z1"}, {"d", "z2"}};

/// Entries that exchange key messages over a simulated network with loss, duplication, delay and partitions.
class KeyCluster
{
public:
    KeyCluster()
    {
        for (std::size_t i = 0; i < Entries.size(); ++i) {
            restart(i);
        }
    }

    void restart(std::size_t entry)
    {
        ZoneKeysOptions options;
        options.entry = Entries[entry].entry;
        options.zone = Entries[entry].zone;
        options.incarnation = ++incarnation_;
        options.entries = Entries;
        nodes_[options.entry] = std::make_unique<ZoneKeys>(options, now_);
        std::erase_if(running_, [&](const auto &attempt) { return attempt.second.entry == options.entry; });
    }
    void issue(std::size_t entry)
    {
        keys_.push_back(node(entry).issue(now_));
    }
    void request(std::size_t entry, std::size_t key, std::uint64_t digest)
    {
        if (!keys_.empty()) {
            askedKeys_[++number_] = keys_[key % keys_.size()];
            node(entry).reserve(number_, {askedKeys_[number_], digest, 10s}, now_);
            collect();
        }
    }
    /// Ends one attempt. An attempt that did not run releases its key.
    void finish(std::size_t which, base::Verdict verdict)
    {
        if (running_.empty()) {
            return;
        }
        auto attempt = std::next(running_.begin(), static_cast<std::ptrdiff_t>(which % running_.size()));
        const auto [number, info] = *attempt;
        running_.erase(attempt);
        std::optional<StoredAnswer> answer;
        if (verdict == base::Verdict::Ran) {
            answer = StoredAnswer{200, "text/plain", info.key};
            ended_.insert(info.key);
        } else if (verdict == base::Verdict::NotRun) {
            --runs_[info.key];
        }
        nodes_[info.entry]->finish(number, {info.key, verdict, answer}, now_);
        collect();
    }
    /// Delivers one message; `fate` selects whether it is lost or duplicated. The partition drops messages.
    void deliver(std::size_t which, std::uint32_t fate)
    {
        if (network_.empty()) {
            return;
        }
        const auto place = network_.begin() + static_cast<std::ptrdiff_t>(which % network_.size());
        const KeyMessage message = *place;
        if (fate % 8 != 0) {
            network_.erase(place);
        }
        const bool crossesPartition = partitioned_ && (message.from == "d" || message.to == "d");
        if (fate % 8 != 1 && !crossesPartition) {
            nodes_[message.to]->handle(message, now_);
            collect();
        }
    }
    void advance(base::Duration time)
    {
        now_ += time;
        for (auto &[name, node] : nodes_) {
            node->tick(now_);
        }
        collect();
    }
    void setPartitioned(bool partitioned)
    {
        partitioned_ = partitioned;
    }
    /// Ends the partition and delivers all messages.
    void deliverAll()
    {
        partitioned_ = false;
        while (!network_.empty()) {
            deliver(0, 2);
        }
    }

    std::vector<std::string> &keys()
    {
        return keys_;
    }
    const KeyReply &lastReply() const
    {
        return replies_.back();
    }

    ZoneKeys &node(std::size_t entry)
    {
        return *nodes_[Entries[entry % Entries.size()].entry];
    }

private:
    struct Attempt {
        std::string entry;
        std::string key;
    };

    void collect()
    {
        for (auto &[name, node] : nodes_) {
            for (KeyMessage &message : node->takeMessages()) {
                network_.push_back(std::move(message));
            }
            for (KeyDecision &decision : node->takeDecisions()) {
                applyDecision(name, decision);
            }
        }
    }
    void applyDecision(const std::string &entry, const KeyDecision &decision)
    {
        const std::string key = askedKeys_.at(decision.number);
        replies_.push_back(decision.reply);
        if (decision.reply.status == KeyStatus::Granted) {
            RC_ASSERT(++runs_[key] == 1);
            running_[decision.number] = {entry, key};
        }
        if (decision.reply.status == KeyStatus::Duplicate) {
            RC_ASSERT(decision.reply.verdict != base::Verdict::NotRun);
            RC_ASSERT(decision.reply.verdict != base::Verdict::Ran || ended_.contains(key));
            // Without the inner parentheses, RC_ASSERT evaluates both sides.
            RC_ASSERT((!decision.reply.answer || decision.reply.answer->body == key));
        }
    }

    std::vector<std::string> keys_;
    std::map<std::string, int> runs_;
    std::vector<KeyReply> replies_;
    base::TimePoint now_{1h};
    std::uint64_t incarnation_ = 0;
    std::uint64_t number_ = 0;
    bool partitioned_ = false;
    std::map<std::string, std::unique_ptr<ZoneKeys>> nodes_;
    std::vector<KeyMessage> network_;
    std::map<std::uint64_t, std::string> askedKeys_;
    std::map<std::uint64_t, Attempt> running_;
    std::set<std::string> ended_;
};

} // namespace

RC_GTEST_PROP(ZoneKeys, aKeyRunsAtMostOnceUnderFaults, ())
{
    constexpr int Steps = 1500;
    KeyCluster cluster;
    std::mt19937 random(*rc::gen::noShrink(rc::gen::inRange<std::uint32_t>(0, UINT32_MAX)));
    for (int step = 0; step < Steps; ++step) {
        const auto value = static_cast<std::uint32_t>(random());
        const std::uint32_t low = (value >> 4U) & 0xfffU;
        switch (value >> 28U) {
        case 0:
            cluster.issue(low);
            break;
        case 1:
        case 2:
        case 3:
            cluster.request(low, low >> 2U, 7);
            break;
        case 4:
        case 5:
            cluster.finish(low, static_cast<base::Verdict>(low % 3));
            break;
        case 6:
            cluster.advance(low % 16 == 0 ? 2h : 200ms);
            break;
        case 7:
            if (low % 4 == 0) {
                cluster.restart(low / 4 % Entries.size());
            } else {
                cluster.setPartitioned(low % 2 == 0);
            }
            break;
        default:
            cluster.deliver(low, low >> 3U);
            break;
        }
    }
}

TEST(ZoneKeys, aResentRequestGetsTheFirstAnswerFromAnyEntry)
{
    KeyCluster cluster;
    cluster.issue(0);
    cluster.request(1, 0, 7);
    cluster.deliverAll();
    cluster.request(3, 0, 7);
    cluster.deliverAll();
    EXPECT_EQ(cluster.lastReply().status, KeyStatus::Duplicate);
    EXPECT_EQ(cluster.lastReply().verdict, base::Verdict::MayHaveRun);
    cluster.finish(0, base::Verdict::Ran);
    cluster.deliverAll();
    cluster.request(2, 0, 8);
    cluster.deliverAll();
    EXPECT_EQ(cluster.lastReply().status, KeyStatus::Conflict);
    cluster.restart(0);
    for (const std::size_t entry : {0, 1, 2, 3}) {
        cluster.request(entry, 0, 7);
        cluster.deliverAll();
        EXPECT_EQ(cluster.lastReply().verdict, base::Verdict::Ran)
            << "the replica keeps the answer after the issuer restarts";
        EXPECT_EQ(cluster.lastReply().answer->body, cluster.keys()[0]);
    }
}

TEST(ZoneKeys, aPartitionedZoneGrantsOnlyItsOwnKeys)
{
    KeyCluster cluster;
    cluster.issue(3);
    cluster.issue(0);
    cluster.setPartitioned(true);
    cluster.request(3, 0, 7);
    EXPECT_EQ(cluster.lastReply().status, KeyStatus::Granted);
    cluster.request(3, 1, 7);
    cluster.deliver(0, 2);
    cluster.advance(400ms);
    cluster.deliver(0, 2);
    cluster.advance(400ms);
    EXPECT_EQ(cluster.lastReply().status, KeyStatus::Unreachable);
    cluster.setPartitioned(false);
    cluster.request(1, 1, 7);
    cluster.deliverAll();
    EXPECT_EQ(cluster.lastReply().status, KeyStatus::Granted) << "nothing was dispatched during the partition";
}

TEST(ZoneKeys, forgedAndExpiredKeysAreRejected)
{
    KeyCluster cluster;
    cluster.issue(0);
    EXPECT_FALSE(cluster.node(0).parse("z1-a:1:0"));
    EXPECT_FALSE(cluster.node(0).parse("z1-a:1:0:1:"));
    EXPECT_FALSE(cluster.node(0).parse("z1-x:1:0:1"));
    EXPECT_TRUE(cluster.node(0).parse("z1-a:1:0:1"));
    cluster.keys().emplace_back("z1-a:1:0:2");
    cluster.request(0, 1, 7);
    EXPECT_EQ(cluster.lastReply().status, KeyStatus::Conflict) << "the key was never issued";
    cluster.advance(2h);
    cluster.request(0, 0, 7);
    EXPECT_EQ(cluster.lastReply().status, KeyStatus::Unreachable);
}

RC_GTEST_PROP(ZoneKeys, parsesArbitraryTextSafely, (const std::string &text))
{
    ZoneKeysOptions options;
    options.entries = Entries;
    const ZoneKeys keys(options, base::TimePoint{1h});
    keys.parse(text);
    keys.parse("z1-a:" + text);
    const auto key = keys.parse("z1-a:1:" + text + ":1");
    RC_ASSERT((!key || key->incarnation == 1));
}
