#pragma once

#include "chestnutsill/policy/instant.h"
#include "chestnutsill/policy/routing.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutsill {

/// What an upstream has published of itself.
struct UpstreamEntry
{
    /// Names one incarnation, unless `startUnixMs` tells two apart.
    std::string id;
    std::string service;
    /// IP address and port.
    std::string address;
    std::string zone;
    /// Requests that it works on at a time.
    int slots = 0;
    /// Whether it leaves and takes no new work.
    bool leaving = false;
    /// How much longer it is cold, counted from when the entry was written.
    milliseconds coldRemaining{};
    /// Start of the process in Unix milliseconds by its own clock; 0 when unknown. Only compared for
    /// equality.
    std::int64_t startUnixMs = 0;
};

/// An upstream as this instance knows it.
struct UpstreamRecord
{
    UpstreamEntry entry;
    /// Revision of the entry.
    std::uint64_t revision = 0;
    /// Until when it counts as cold.
    Instant coldUntil{};
    /// Set when the entry lapsed while the store was unavailable: when the upstream counts as gone.
    std::optional<Instant> removeAt;
};

/// What operators and upstreams have published, as far as this instance has read it. Versions of the routing
/// table only grow. Not thread-safe.
class Catalog
{
public:
    /// How long entries that lapsed during an outage of the store are kept after its return. Upstreams that
    /// live publish themselves again within about this time.
    static constexpr milliseconds RemovalDelay{2200};

    /// Takes a routing table unless its version is lower than or equal to the one in force. Returns whether
    /// it took it.
    bool applyTable(std::shared_ptr<const RoutingTable> table);

    /// The table in force; null before the first.
    [[nodiscard]] const std::shared_ptr<const RoutingTable> &table() const noexcept { return m_table; }

    /// Takes or gives back an availability zone.
    void setZoneOutOfService(std::string_view zone, bool out);

    [[nodiscard]] bool isZoneOutOfService(std::string_view zone) const;

    [[nodiscard]] const std::set<std::string, std::less<>> &zonesOutOfService() const noexcept
    {
        return m_zonesOut;
    }

    /// Takes the entry of an upstream, unless a newer revision is known.
    void updateUpstream(UpstreamEntry entry, std::uint64_t revision, Instant now);

    /// Records that the entry of an upstream is gone.
    void removeUpstream(std::string_view id, std::uint64_t revision, Instant now);

    /// Marks an upstream as cold from now for the cold start of its service, because it seems to have
    /// restarted.
    void suspectRestart(std::string_view id, Instant now);

    /// Records that the store could not be read since `lastAnswerAt`, or can be read again, which starts
    /// `RemovalDelay`.
    void recordStoreLost(Instant lastAnswerAt) noexcept;
    void recordStoreRegained(Instant now) noexcept;

    /// Takes that a peer has followed the store without a gap for this time. If that is longer than this
    /// instance could not, only its own way to the store was cut, no entry has lapsed without its upstream,
    /// and none is kept.
    void recordPeerFollowed(milliseconds followed, Instant now);

    /// Takes that entries may have lapsed in an outage which ended a while ago, so that they are kept for
    /// this time.
    void delayRemovalsUntil(Instant until) noexcept
    {
        m_removalsDelayedUntil = std::max(m_removalsDelayedUntil, until);
    }

    /// Until when entries that lapse are kept.
    [[nodiscard]] Instant removalsDelayedUntil() const noexcept { return m_removalsDelayedUntil; }

    /// Drops upstreams whose entries have lapsed for good.
    void removeExpired(Instant now);

    /// Upstreams of a service that take new work, in order of their ids.
    [[nodiscard]] std::vector<const UpstreamRecord *> usableUpstreams(std::string_view service) const;

    /// The record of an upstream; null when unknown.
    [[nodiscard]] const UpstreamRecord *find(std::string_view id) const;

    /// Whether new work may still be sent to an upstream.
    [[nodiscard]] bool mayUse(std::string_view id) const;

    [[nodiscard]] const std::map<std::string, UpstreamRecord, std::less<>> &upstreams() const noexcept
    {
        return m_upstreams;
    }

private:
    [[nodiscard]] bool isUsable(const UpstreamRecord &record) const;
    [[nodiscard]] milliseconds coldStartOf(std::string_view service) const;

    std::shared_ptr<const RoutingTable> m_table;
    std::set<std::string, std::less<>> m_zonesOut;
    std::map<std::string, UpstreamRecord, std::less<>> m_upstreams;
    bool m_storeLost = false;
    Instant m_storeLostSince{};
    Instant m_removalsDelayedUntil{};
};

} // namespace chestnutsill
