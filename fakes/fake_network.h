#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace yuccawheel::fakes
{

/// Faults of every link. Delays are uniformly distributed, so messages may be reordered.
struct LinkFaults {
    unsigned dropPercent = 0;
    unsigned duplicatePercent = 0;
    std::chrono::milliseconds minDelay{1};
    std::chrono::milliseconds maxDelay{1};
};

/// Carries messages between numbered nodes in virtual time.
template <typename Message>
class FakeNetwork
{
public:
    struct Delivery {
        std::uint32_t from = 0;
        std::uint32_t to = 0;
        Message message;
    };

    explicit FakeNetwork(std::uint64_t seed) : random_(seed)
    {
    }

    void setFaults(LinkFaults faults)
    {
        faults_ = faults;
    }
    /// Drops all messages in one direction; the sender is not notified.
    void cut(std::uint32_t from, std::uint32_t to)
    {
        cuts_.emplace(from, to);
    }
    void heal()
    {
        cuts_.clear();
    }

    /// Counts the bytes of each message sent from now on; `sizeOf` returns the size of a message.
    void countBytes(std::function<std::size_t(const Message &)> sizeOf)
    {
        sizeOf_ = std::move(sizeOf);
    }

    void send(std::uint32_t from, std::uint32_t to, const Message &message, base::TimePoint now)
    {
        ++sent_;
        sentBytes_ += sizeOf_ ? sizeOf_(message) : 0;
        if (cuts_.contains({from, to}) || chance(faults_.dropPercent)) {
            return;
        }
        enqueue(from, to, message, now);
        if (chance(faults_.duplicatePercent)) {
            enqueue(from, to, message, now);
        }
    }

    /// Removes and returns the due messages in order of delivery. Messages on a link that was cut meanwhile are lost.
    std::vector<Delivery> due(base::TimePoint now)
    {
        std::vector<Delivery> deliveries;
        while (!queue_.empty() && queue_.begin()->first <= now) {
            auto item = queue_.extract(queue_.begin());
            if (!cuts_.contains({item.mapped().from, item.mapped().to})) {
                deliveries.push_back(std::move(item.mapped()));
            }
        }
        return deliveries;
    }

    bool hasMessages() const
    {
        return !queue_.empty();
    }
    std::uint64_t sent() const
    {
        return sent_;
    }
    std::uint64_t sentBytes() const
    {
        return sentBytes_;
    }

private:
    bool chance(unsigned percent)
    {
        return random_() % 100 < percent;
    }
    void enqueue(std::uint32_t from, std::uint32_t to, const Message &message, base::TimePoint now)
    {
        const auto span = static_cast<std::uint64_t>((faults_.maxDelay - faults_.minDelay).count()) + 1;
        const auto delay = faults_.minDelay + std::chrono::milliseconds(random_() % span);
        queue_.emplace(now + delay, Delivery{from, to, message});
    }

    std::mt19937_64 random_;
    LinkFaults faults_;
    std::set<std::pair<std::uint32_t, std::uint32_t>> cuts_;
    std::multimap<base::TimePoint, Delivery> queue_;
    std::function<std::size_t(const Message &)> sizeOf_;
    std::uint64_t sent_ = 0;
    std::uint64_t sentBytes_ = 0;
};

} // namespace yuccawheel::fakes
