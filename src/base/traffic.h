#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace yuccawheel::base
{

/// Bytes of control traffic of this process by message kind: the inner protocol and the HTTP control interfaces, but
/// not callers' requests.
class ControlTraffic
{
public:
    /// Kind of the HTTP control interfaces. The other kinds are the message types of the inner protocol.
    static constexpr std::size_t HttpKind = 0;
    static constexpr std::size_t KindCount = 128;

    void addSent(std::size_t kind, std::uint64_t bytes)
    {
        sentBytes_.at(kind).fetch_add(bytes, std::memory_order_relaxed);
    }
    void addReceived(std::size_t kind, std::uint64_t bytes)
    {
        receivedBytes_.at(kind).fetch_add(bytes, std::memory_order_relaxed);
    }
    std::uint64_t sentBytes(std::size_t kind) const
    {
        return sentBytes_.at(kind).load(std::memory_order_relaxed);
    }
    std::uint64_t receivedBytes(std::size_t kind) const
    {
        return receivedBytes_.at(kind).load(std::memory_order_relaxed);
    }
    std::uint64_t sentBytes() const
    {
        return sum(sentBytes_);
    }
    std::uint64_t receivedBytes() const
    {
        return sum(receivedBytes_);
    }

private:
    using ByKind = std::array<std::atomic<std::uint64_t>, KindCount>;
    static std::uint64_t sum(const ByKind &bytes)
    {
        std::uint64_t total = 0;
        for (const auto &part : bytes) {
            total += part.load(std::memory_order_relaxed);
        }
        return total;
    }

    ByKind sentBytes_{};
    ByKind receivedBytes_{};
};

/// The counters of this process.
inline ControlTraffic &controlTraffic()
{
    static ControlTraffic traffic;
    return traffic;
}

} // namespace yuccawheel::base
