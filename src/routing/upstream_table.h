#pragma once

#include "routing/executor_share.h"
#include "routing/types.h"
#include "routing/upstream_health.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace yuccawheel::routing
{

/// Position of a service in the table of one router; stays valid while the process lives.
using ServiceIndex = std::uint32_t;

/// One upstream as an entry knows it.
struct Upstream {
    UpstreamAnnouncement info;
    std::string zone;
    bool local = false; ///< In the entry's own availability zone.
    std::uint64_t sequence = 0;
    base::TimePoint lastHeard;
    base::TimePoint lastRelayed; ///< By this entry or by another one of the zone.
    ExecutorShare share;
    UpstreamHealth health;
    base::Duration latency{0}; ///< Smoothed time of an answer; zero if unknown.
    base::TimePoint lastAnswer;
    std::vector<ServiceIndex> services;
    bool known = false; ///< False for a position that is free for another upstream.
};

/// Text hash that takes views without copying them.
struct TextHash {
    using is_transparent = void; // NOLINT(readability-identifier-naming): named by the standard library
    std::size_t operator()(std::string_view text) const noexcept
    {
        return std::hash<std::string_view>{}(text);
    }
};
template <typename Value>
using TextMap = std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;

enum class UpstreamTableError : std::uint8_t {
    StaleIncarnation, ///< A later incarnation of the executor has announced itself.
    TooManyUpstreams,
    TooManyServices,
};

struct UpstreamTableOptions {
    std::string zone; ///< The entry's own availability zone.
    std::string entry; ///< The entry's own name.
    std::vector<std::string> zoneEntries; ///< Names of all entries of the zone.
    base::Duration silenceTimeout =
        std::chrono::milliseconds(2500); ///< An upstream not heard for so long gets no request.
    base::Duration removalTimeout = std::chrono::minutes(2); ///< An upstream not heard for so long is dropped.
    base::Duration relayInterval = std::chrono::milliseconds(900); ///< Between a zone's updates that bring no change.
    /// What another entry waits longer before it relays in place of the first one. With the interval and a heartbeat it
    /// must stay well below `silenceTimeout`.
    base::Duration relayTakeoverDelay = std::chrono::milliseconds(500);
    std::uint32_t maxUpstreams = 10'000;
    std::uint32_t maxServices = 10'000;
};

/// Upstreams and services that one entry knows, from its own ears and from other entries.
class UpstreamTable
{
public:
    explicit UpstreamTable(UpstreamTableOptions options);

    /// Takes a heartbeat heard by this entry itself.
    tl::expected<UpstreamIndex, UpstreamTableError> applyHeartbeat(const UpstreamAnnouncement &announcement,
                                                                   base::TimePoint now);
    /// Takes an update from another entry. Stale ones are ignored.
    tl::expected<UpstreamIndex, UpstreamTableError> applyUpdate(const UpstreamUpdate &update, base::TimePoint now);
    /// Drops upstreams that have been silent for long and have no slot in use.
    void removeExpired(base::TimePoint now);
    /// Updates to pass to the other entries; empties the list.
    std::vector<UpstreamUpdate> takeUpdates();

    /// Whether the upstream may get new requests, its health aside.
    bool isServing(const Upstream &upstream, base::TimePoint now) const;

    Upstream &at(UpstreamIndex index);
    const Upstream &at(UpstreamIndex index) const;
    Upstream *find(std::string_view executor);
    const Upstream *find(std::string_view executor) const;
    /// Finds an executor, or keeps a place for one that has not announced itself yet.
    tl::expected<UpstreamIndex, UpstreamTableError> findOrReserve(std::string_view executor);
    std::size_t size() const;
    /// Every upstream that announced itself, as it would be passed to another entry.
    std::vector<UpstreamUpdate> listUpdates(base::TimePoint now) const;
    std::optional<ServiceIndex> findService(std::string_view service) const;
    /// Upstreams that offer a service, in table order.
    const std::vector<UpstreamIndex> &upstreamsOf(ServiceIndex service) const;
    std::size_t serviceCount() const;

private:
    tl::expected<UpstreamIndex, UpstreamTableError>
    apply(const UpstreamUpdate &update, base::TimePoint heard, base::TimePoint now, bool direct);
    bool setServices(UpstreamIndex index, const std::vector<std::string> &services);
    /// Whether this entry, of those of the zone, is the one that relays an upstream as long as it runs.
    bool isPrimaryRelay(std::string_view executor) const;
    void relayIfDue(Upstream &upstream, bool changed, base::TimePoint now);

    const UpstreamTableOptions options_;
    std::vector<Upstream> upstreams_;
    std::vector<UpstreamIndex> freeIndices_;
    TextMap<UpstreamIndex> indexByExecutor_;
    TextMap<ServiceIndex> indexByService_;
    std::vector<std::vector<UpstreamIndex>> upstreamsByService_;
    std::vector<UpstreamUpdate> updates_;
};

} // namespace yuccawheel::routing
