#include "store/configuration_memory.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace yuccawheel;
using store::ConfigurationMemory;

namespace
{

protocol::StateUpdate fullState(std::uint64_t version)
{
    protocol::StateUpdate update;
    update.full = true;
    update.configurationVersion = version;
    return update;
}

protocol::RecallConfigurationReply recalled(std::uint64_t version)
{
    protocol::RecallConfigurationReply reply{true, {}};
    reply.configuration.version = version;
    return reply;
}

/// A simulated process of the zone. Its ConfigurationMemory is lost when the process is killed.
struct Process {
    std::string node;
    std::unique_ptr<ConfigurationMemory> memory; ///< Null while the process is dead.
    std::uint64_t incarnation = 0;
    std::uint64_t highestApplied = 0; ///< Highest version that any run of the process applied.
};

/// Simulates the processes of a zone under delayed and reordered messages, kills, restarts and outages of the store.
class Zone
{
public:
    Zone(std::uint32_t seed, std::size_t size) : random_(seed), processes_(size)
    {
        for (std::size_t i = 0; i < size; ++i) {
            processes_[i].node = std::to_string(i);
            start(processes_[i]);
        }
    }

    void step()
    {
        Process &self = randomProcess();
        Process &other = randomProcess();
        const std::uint32_t kind = random_() % 40;
        if (kind < 2) {
            storeUnreachable_ = random_() % 2 == 0;
        } else if (kind < 4) {
            ++version_;
        } else if (kind < 8 && !storeUnreachable_) {
            sendStoreUpdate(self);
        } else if (kind < 9) {
            self.memory = nullptr;
        } else if (kind < 14 && !self.memory) {
            start(self);
        } else if (kind < 25 && self.memory && &self != &other) {
            ask(self, other);
        } else {
            deliver();
        }
        for (Process &process : processes_) {
            check(process);
        }
    }

private:
    Process &randomProcess()
    {
        return processes_[random_() % processes_.size()];
    }

    void start(Process &process)
    {
        std::set<std::string> others;
        for (std::size_t i = 0; i < processes_.size(); ++i) {
            others.insert(std::to_string(i));
        }
        others.erase(process.node);
        process.memory = std::make_unique<ConfigurationMemory>(others);
        ++process.incarnation;
    }

    void sendStoreUpdate(Process &process)
    {
        if (!process.memory) {
            return;
        }
        send(process, [&process, version = version_] { process.memory->onStoreUpdate(fullState(version)); });
    }

    /// Queues a message; it is lost if the receiver restarts before the delivery.
    void send(Process &to, std::function<void()> handler)
    {
        messages_.push_back([&to, incarnation = to.incarnation, handler = std::move(handler)] {
            if (to.memory && to.incarnation == incarnation) {
                handler();
            }
        });
    }

    void ask(Process &self, Process &other)
    {
        const std::uint64_t version = self.memory->latest().version;
        if (!other.memory) {
            send(self, [&, version] { self.memory->onConnectionRefused(other.node, version); });
        } else if (self.memory->isRecovered()) {
            std::optional<protocol::Configuration> content;
            if (random_() % 4 == 0) {
                content = self.memory->latest();
            }
            send(other, [&, version, content, incarnation = self.incarnation] {
                const auto reply = other.memory->onHold({version, content});
                if (self.incarnation == incarnation) {
                    send(self, [&, version, reply] { self.memory->onHoldReply(other.node, version, reply.version); });
                }
            });
        } else {
            send(other, [&, incarnation = self.incarnation] {
                const auto reply = other.memory->onRecall();
                if (self.incarnation == incarnation) {
                    send(self, [&, reply] { self.memory->onRecallReply(other.node, reply); });
                }
            });
        }
    }

    void deliver()
    {
        if (!messages_.empty()) {
            std::swap(messages_[random_() % messages_.size()], messages_.back());
            const auto message = std::move(messages_.back());
            messages_.pop_back();
            message();
        }
    }

    void check(Process &process)
    {
        if (process.memory && process.memory->takeApplicable() != nullptr) {
            RC_ASSERT(*process.memory->appliedVersion() >= process.highestApplied);
            process.highestApplied = *process.memory->appliedVersion();
        }
    }

    std::mt19937 random_;
    std::uint64_t version_ = 0;
    bool storeUnreachable_ = false;
    std::vector<Process> processes_;
    std::vector<std::function<void()>> messages_;
};

} // namespace

// Guards against a process that restarts while the store is unreachable and applies an older configuration than its
// earlier run did.
RC_GTEST_PROP(ConfigurationMemory, appliedVersionNeverDecreasesAcrossRestarts, (std::uint32_t seed))
{
    Zone zone(seed, 2 + seed % 3);
    for (int step = 0; step < 2000; ++step) {
        zone.step();
    }
}

TEST(ConfigurationMemory, versionIsNotAppliedUntilAnotherProcessHoldsIt)
{
    ConfigurationMemory memory({"entry-c1", "scheduler-c2"});
    memory.onStoreUpdate(fullState(4));
    EXPECT_EQ(memory.takeApplicable(), nullptr);
    memory.onHoldReply("entry-c1", 3, 4);
    memory.onHoldReply("entry-c1", 4, 3);
    EXPECT_EQ(memory.takeApplicable(), nullptr);
    EXPECT_NE(memory.notReadyReason()->find("version 4"), std::string::npos);
    memory.onHoldReply("entry-c1", 4, 4);
    ASSERT_NE(memory.takeApplicable(), nullptr);
    EXPECT_EQ(memory.appliedVersion(), 4U);
    EXPECT_EQ(memory.notReadyReason(), std::nullopt);
}

TEST(ConfigurationMemory, versionIsAppliedWithoutAnotherHolderOnlyIfAllOthersAreDead)
{
    ConfigurationMemory memory({"entry-c1", "scheduler-c2"});
    memory.onStoreUpdate(fullState(4));
    memory.onConnectionRefused("entry-c1", 4);
    memory.onConnectionRefused("scheduler-c2", 3);
    EXPECT_EQ(memory.takeApplicable(), nullptr);
    memory.onConnectionRefused("scheduler-c2", 4);
    ASSERT_NE(memory.takeApplicable(), nullptr);
    EXPECT_EQ(memory.appliedVersion(), 4U);
}

TEST(ConfigurationMemory, restartedProcessRecoversFromAllOthers)
{
    ConfigurationMemory memory({"entry-c1", "scheduler-c2"});
    memory.onRecallReply("entry-c1", recalled(5));
    memory.onRecallReply("scheduler-c2", {});
    EXPECT_FALSE(memory.isRecovered());
    EXPECT_NE(memory.notReadyReason()->find("scheduler-c2"), std::string::npos);
    memory.onRecallReply("scheduler-c2", recalled(4));
    EXPECT_EQ(memory.latest().version, 5U);
    memory.onHoldReply("entry-c1", 5, 5);
    ASSERT_NE(memory.takeApplicable(), nullptr);
    EXPECT_EQ(memory.appliedVersion(), 5U);
    EXPECT_EQ(ConfigurationMemory({}).notReadyReason(),
              "configuration unknown: no store leader, and the zone has no other process to ask");
}
