#pragma once

#include "chestnutsill/policy/instant.h"
#include "chestnutsill/policy/routing.h"
#include "chestnutsill/policy/storerevision.h"

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

/// The entry that an upstream publishes about itself in the store.
struct UpstreamEntry
{
    /// Identifies one incarnation of the upstream. Incarnations that share an id differ in `startUnixMs`.
    std::string id;
    std::string service;
    /// IP address and port.
    std::string address;
    std::string zone;
    /// Version of the upstream's software. Several may serve side by side, in no order.
    std::string softwareVersion;
    /// Maximum number of requests processed concurrently.
    int slots = 0;
    /// Whether the upstream is draining and accepts no new requests.
    bool leaving = false;
    /// Remaining time of the cold start when the entry was written.
    milliseconds coldRemaining{};
    /// Start of the process by its own clock in Unix milliseconds, or 0 if unknown. Only compared for
    /// equality.
    std::int64_t startUnixMs = 0;
};

/// An upstream as known to this instance.
struct UpstreamRecord
{
    UpstreamEntry entry;
    /// Start of the process of the upstream that has said in a response that it is leaving.
    std::optional<std::int64_t> leavingStartUnixMs;
    /// Store revision of the entry.
    StoreRevision revision;
    /// End of its cold start.
    Instant coldUntil{};
    /// When to remove the upstream; set if its entry disappeared during or shortly after a store outage.
    std::optional<Instant> removeAt;
    /// Until when it is not used; set if a restored store shows it although it had been removed before.
    std::optional<Instant> withheldUntil;
    /// Since when the process that runs may be another one than the entry describes; see
    /// `Catalog::describesProcess`.
    std::optional<Instant> doubtedSince;
    /// When a peer noticed the end of the process that the entry describes, unless that was disproved since.
    std::optional<Instant> endReportedAt;
    /// Key of the process that the entry describes; see `incarnationKeyOf`.
    std::uint64_t incarnationKey = 0;
};

/// Whether an upstream is leaving, by its entry or by what its process has said.
[[nodiscard]] bool isLeaving(const UpstreamRecord &record) noexcept;

/// The routing table, upstream entries and availability zones out of service, as far as this instance has
/// read them from the store. The version of the routing table never decreases. Not thread-safe.
class Catalog
{
public:
    /// Time after a store outage for which removals are delayed. Live upstreams whose leases expired in the
    /// outage publish their entries again within about this time.
    static constexpr milliseconds RemovalDelay{2200};
    /// Time for which an upstream that had been removed is not used if a restored store shows it again. The
    /// entry of one that has gone lapses within it.
    static constexpr milliseconds ReturnDelay{5000};
    /// Time for which removed upstreams are remembered: longer than a copy is old from which a store is
    /// restored.
    static constexpr std::chrono::seconds RemovalMemory{60};

    /// Time after which an upstream that may have been restarted would have published its new entry.
    static constexpr milliseconds DoubtTime{5000};

    /// Longest time between two confirmations of an instance that follows the store.
    static constexpr milliseconds MaxConfirmationGap{3000};

    /// Puts a routing table into force if it is not null and its version is higher than that of the current
    /// one. Returns whether it did.
    bool applyTable(std::shared_ptr<const RoutingTable> table);

    /// The routing table in force, or null if none has been applied yet.
    [[nodiscard]] const std::shared_ptr<const RoutingTable> &table() const noexcept { return m_table; }

    /// Takes an availability zone out of service, or puts it back.
    void setZoneOutOfService(std::string_view zone, bool out);

    [[nodiscard]] bool isZoneOutOfService(std::string_view zone) const;

    [[nodiscard]] const std::set<std::string, std::less<>> &zonesOutOfService() const noexcept
    {
        return m_zonesOutOfService;
    }

    /// Puts an availability zone back that the copy lacks from which the store was restored. This is delayed
    /// like removals of upstreams, until when it may be taken out again.
    void returnZoneOfRestoredStore(std::string_view zone, Instant now);

    /// Adds or updates an upstream, unless a newer revision of its entry is known. A changed `startUnixMs`
    /// counts as a restart and begins a new cold start. The first entry of a new era may come from the copy
    /// from which the store was restored: an upstream that was leaving is still taken to leave then, and one
    /// that had been removed is not used for `ReturnDelay`, unless it has been restarted. Later writes hold.
    void updateUpstream(UpstreamEntry entry, StoreRevision revision, Instant now);

    /// Removes an upstream whose entry has disappeared from the store, unless a newer revision is known.
    /// During and shortly after a store outage the removal is delayed, because leases of live upstreams
    /// expire too.
    void removeUpstream(std::string_view id, StoreRevision revision, Instant now);

    /// Begins a new cold start of an upstream that appears to have restarted, for example because it refused
    /// a connection. It lasts as long as a cold start of its service. The software version that now runs is
    /// not known for certain.
    void suspectRestart(std::string_view id, Instant now);

    /// Records that the process of an upstream with this start has said in a response that it is leaving. It
    /// gets no new requests any more, whatever its entry says. Returns false if that was known.
    bool recordLeaving(std::string_view id, std::int64_t startUnixMs);

    /// Records that a peer noticed the end of an upstream's process at an instant; see `incarnationKeyOf`.
    /// The software version that now runs is not known for certain.
    void recordPeerCrash(std::uint64_t incarnationKey, Instant at);

    /// Records that this process was alive at an instant, so that it has not ended as peers reported before.
    void recordAlive(std::uint64_t incarnationKey, Instant at);

    /// Records that the entries were those of the store at an instant.
    void recordConfirmed(Instant at) noexcept { m_confirmedAt = std::max(m_confirmedAt, at); }

    /// Records that the store has been unreachable since `lastAnswerAt`.
    void recordStoreLost(Instant lastAnswerAt) noexcept;

    /// Records that the store is reachable again. Upstreams whose entries have disappeared are kept for
    /// `RemovalDelay`.
    void recordStoreRegained(Instant now) noexcept;

    /// Records that a peer has followed the store without interruption for the time `followed`. If this
    /// covers the whole outage seen by this instance, only its own connection to the store was interrupted
    /// and no lease of a live upstream expired, so upstreams whose removal was delayed are removed now.
    void recordPeerFollowed(milliseconds followed, Instant now);

    /// Delays removals until at least `until`, because leases may have expired in a store outage that a peer
    /// has seen.
    void delayRemovalsUntil(Instant until) noexcept
    {
        m_removalsDelayedUntil = std::max(m_removalsDelayedUntil, until);
    }

    /// End of the time in which removals are delayed.
    [[nodiscard]] Instant removalsDelayedUntil() const noexcept { return m_removalsDelayedUntil; }

    /// Removes the upstreams, and puts back the zones, for which this was delayed until now or earlier,
    /// unless the store is unreachable, and uses upstreams that were withheld until then.
    void removeExpired(Instant now);

    /// Upstreams of a service that accept new requests, ordered by id.
    [[nodiscard]] std::vector<const UpstreamRecord *> usableUpstreams(std::string_view service) const;

    /// The record of an upstream, or null if it is unknown.
    [[nodiscard]] const UpstreamRecord *find(std::string_view id) const;

    /// Whether the process that answers as an upstream is known for certain to be the one that its entry
    /// describes, for example to run the same software version. It is not if the upstream may have been
    /// restarted since, or if the entry may come from the copy from which the store was restored: until an
    /// entry of another process is written, or for `DoubtTime` and while the store is unreachable. A later
    /// write may still be one of the old process.
    [[nodiscard]] bool describesProcess(const UpstreamRecord &record, Instant now) const;

    /// The same for the process at the other end of a connection that was opened at an instant. An outage of
    /// the store before that may hide the entry of a new process, and so may a time without confirmations
    /// that has not been noticed as an outage yet, for example because this process was stopped.
    [[nodiscard]] bool describesProcess(const UpstreamRecord &record, Instant connectedAt, Instant now) const;

    /// Whether the store is unreachable.
    [[nodiscard]] bool isStoreLost() const noexcept { return m_storeLost; }

    /// Whether new requests may be sent to an upstream.
    [[nodiscard]] bool isUsable(std::string_view id) const;

    [[nodiscard]] const std::map<std::string, UpstreamRecord, std::less<>> &upstreams() const noexcept
    {
        return m_upstreams;
    }

private:
    [[nodiscard]] bool isUsable(const UpstreamRecord &record) const;
    [[nodiscard]] milliseconds coldStartOf(std::string_view service) const;
    /// Removes an upstream and remembers it for `RemovalMemory`.
    void erase(std::string_view id, Instant now);

    /// An upstream that has been removed.
    struct RemovedUpstream
    {
        std::int64_t startUnixMs = 0;
        std::optional<std::int64_t> leavingStartUnixMs;
        /// Era in which it was removed.
        std::uint64_t era = 0;
        Instant at{};
    };

    std::shared_ptr<const RoutingTable> m_table;
    std::set<std::string, std::less<>> m_zonesOutOfService;
    std::map<std::string, UpstreamRecord, std::less<>> m_upstreams;
    std::map<std::string, RemovedUpstream, std::less<>> m_removedUpstreams;
    /// The newest era of all entries and removals.
    std::uint64_t m_era = 0;
    /// Zones that are put back at an instant.
    std::map<std::string, Instant, std::less<>> m_zoneReturns;
    Instant m_confirmedAt{};
    bool m_storeLost = false;
    Instant m_storeLostSince{};
    Instant m_removalsDelayedUntil{};
};

} // namespace chestnutsill
