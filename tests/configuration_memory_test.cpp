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

/// One process of a zone: its memory lasts until the next restart.
struct Process {
    std::string node;
    std::unique_ptr<ConfigurationMemory> memory;
    std::uint64_t incarnation = 0;
    std::uint64_t highest = 0; ///< That any of its runs had in force.
};

/// Processes of a zone with messages that arrive late and in any order, kills, restarts and a log that comes and goes.
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
        Process &self = any();
        Process &other = any();
        const std::uint32_t kind = random_() % 40;
        if (kind < 2) {
            cutOff_ = random_() % 2 == 0;
        } else if (kind < 4) {
            ++version_;
        } else if (kind < 8 && !cutOff_) {
            logReaches(self);
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
    Process &any()
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

    void logReaches(Process &process)
    {
        if (!process.memory) {
            return;
        }
        later(process, [&process, version = version_] { process.memory->onStoreUpdate(fullState(version)); });
    }

    void later(Process &to, std::function<void()> what)
    {
        messages_.push_back([&to, incarnation = to.incarnation, what = std::move(what)] {
            if (to.memory && to.incarnation == incarnation) {
                what();
            }
        });
    }

    void ask(Process &self, Process &other)
    {
        const std::uint64_t version = self.memory->latest().version;
        if (!other.memory) {
            later(self, [&, version] { self.memory->onConnectionRefused(other.node, version); });
        } else if (self.memory->isRecovered()) {
            std::optional<protocol::Configuration> content;
            if (random_() % 4 == 0) {
                content = self.memory->latest();
            }
            later(other, [&, version, content, incarnation = self.incarnation] {
                const auto reply = other.memory->onHold({version, content});
                if (self.incarnation == incarnation) {
                    later(self, [&, version, reply] { self.memory->onHoldReply(other.node, version, reply.version); });
                }
            });
        } else {
            later(other, [&, incarnation = self.incarnation] {
                const auto reply = other.memory->onRecall();
                if (self.incarnation == incarnation) {
                    later(self, [&, reply] { self.memory->onRecallReply(other.node, reply); });
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
            RC_ASSERT(*process.memory->inForce() >= process.highest);
            process.highest = *process.memory->inForce();
        }
    }

    std::mt19937 random_;
    std::uint64_t version_ = 0;
    bool cutOff_ = false;
    std::vector<Process> processes_;
    std::vector<std::function<void()>> messages_;
};

} // namespace

RC_GTEST_PROP(ConfigurationMemory, noRunHasALowerVersionInForceThanAnEarlierOne, (std::uint32_t seed))
{
    Zone zone(seed, 2 + seed % 3);
    for (int step = 0; step < 2000; ++step) {
        zone.step();
    }
}

TEST(ConfigurationMemory, versionWaitsUntilAnotherProcessHoldsIt)
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
    EXPECT_EQ(memory.inForce(), 4U);
    EXPECT_EQ(memory.notReadyReason(), std::nullopt);
}

TEST(ConfigurationMemory, versionIsInForceAloneOnlyIfEveryOtherProcessIsDead)
{
    ConfigurationMemory memory({"entry-c1", "scheduler-c2"});
    memory.onStoreUpdate(fullState(4));
    memory.onConnectionRefused("entry-c1", 4);
    memory.onConnectionRefused("scheduler-c2", 3);
    EXPECT_EQ(memory.takeApplicable(), nullptr);
    memory.onConnectionRefused("scheduler-c2", 4);
    ASSERT_NE(memory.takeApplicable(), nullptr);
    EXPECT_EQ(memory.inForce(), 4U);
}

TEST(ConfigurationMemory, restartedProcessAsksEveryOther)
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
    EXPECT_EQ(memory.inForce(), 5U);
    EXPECT_EQ(ConfigurationMemory({}).notReadyReason(),
              "configuration unknown: no store leader, and the zone has no other process to ask");
}
