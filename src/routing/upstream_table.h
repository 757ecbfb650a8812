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

/// Index of a service in the table of one router; stays valid during the lifetime of the process.
using ServiceIndex = std::uint32_t;

/// An entry's state of one upstream.
struct Upstream {
    UpstreamAnnouncement info;
    std::string zone;
    bool local = false; ///< In the entry's own availability zone.
    std::uint64_t sequence = 0;
    base::TimePoint lastHeard;
    base::TimePoint lastRelayed; ///< By this entry or another entry of the zone.
    ExecutorShare share;
    UpstreamHealth health;
    base::Duration latency{0}; ///< EWMA of the answer time; zero if unknown.
    base::TimePoint lastAnswer;
    std::vector<ServiceIndex> services;
    bool known = false; ///< False for a free index, or one reserved before the first announcement.
};

/// Transparent string hash, for lookup by std::string_view.
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
    StaleIncarnation, ///< A higher incarnation of the executor has been announced.
    TooManyUpstreams,
    TooManyServices,
};

struct UpstreamTableOptions {
    std::string zone; ///< The entry's own availability zone.
    std::string entry; ///< The entry's own name.
    std::vector<std::string> zoneEntries; ///< Names of all entries of the zone, this one included.
    /// An upstream receives no requests after this time without a heartbeat.
    base::Duration silenceTimeout = std::chrono::milliseconds(2500);
    /// An upstream is removed after this time without a heartbeat.
    base::Duration removalTimeout = std::chrono::minutes(2);
    /// Between relayed updates of an unchanged upstream.
    base::Duration relayInterval = std::chrono::milliseconds(900);
    /// Additional wait before a secondary entry relays in place of the primary relay. The sum of this, `relayInterval`
    /// and a heartbeat interval must be well below `silenceTimeout`.
    base::Duration relayTakeoverDelay = std::chrono::milliseconds(500);
    std::uint32_t maxUpstreams = 10'000;
    std::uint32_t maxServices = 10'000;
};

/// Upstreams and services known to one entry, from heartbeats and from updates of other entries.
class UpstreamTable
{
public:
    explicit UpstreamTable(UpstreamTableOptions options);

    /// Applies a heartbeat received by this entry.
    tl::expected<UpstreamIndex, UpstreamTableError> applyHeartbeat(const UpstreamAnnouncement &announcement,
                                                                   base::TimePoint now);
    /// Applies an update from another entry. Stale updates are ignored.
    tl::expected<UpstreamIndex, UpstreamTableError> applyUpdate(const UpstreamUpdate &update, base::TimePoint now);
    /// Removes upstreams without a heartbeat for `removalTimeout` that have no slots in use, lent or borrowed.
    void removeExpired(base::TimePoint now);
    /// Returns the updates to send to the other entries and clears the list.
    std::vector<UpstreamUpdate> takeUpdates();

    /// Whether the upstream may receive new requests, regardless of its health.
    bool isServing(const Upstream &upstream, base::TimePoint now) const;

    Upstream &at(UpstreamIndex index);
    const Upstream &at(UpstreamIndex index) const;
    Upstream *find(std::string_view executor);
    const Upstream *find(std::string_view executor) const;
    /// Finds an executor, or reserves an index for one that has not announced itself yet.
    tl::expected<UpstreamIndex, UpstreamTableError> findOrReserve(std::string_view executor);
    std::size_t size() const;
    /// Returns an update for each upstream that has announced itself.
    std::vector<UpstreamUpdate> listUpdates(base::TimePoint now) const;
    std::optional<ServiceIndex> findService(std::string_view service) const;
    /// Upstreams that offer a service, in ascending order.
    const std::vector<UpstreamIndex> &upstreamsOf(ServiceIndex service) const;
    std::size_t serviceCount() const;

private:
    tl::expected<UpstreamIndex, UpstreamTableError>
    apply(const UpstreamUpdate &update, base::TimePoint heard, base::TimePoint now, bool direct);
    bool setServices(UpstreamIndex index, const std::vector<std::string> &services);
    /// Whether this entry is the primary relay for an upstream: the one with the highest rendezvous weight in the zone.
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
