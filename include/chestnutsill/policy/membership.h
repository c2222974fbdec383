#pragma once

#include "chestnutsill/policy/feedselector.h"
#include "chestnutsill/policy/instant.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chestnutsill {

/// Status of one instance, as it reports it itself or as a peer relays it.
struct InstanceStatus
{
    std::string name;
    /// Random number drawn at each start of the process.
    std::uint64_t incarnation = 0;
    std::string zone;
    /// IP address and port for callers.
    std::string callerAddress;
    /// IP address and port for heartbeats.
    std::string peerAddress;
    /// Whether it accepts callers.
    bool serving = false;
    /// Time since the instance itself reported this status.
    milliseconds age{};
    /// Relative capacity, see `strengthOf`.
    int strength = 1;
};

/// Relative capacity of an instance with this CPU share in cores and link rate in Mbit/s: the smaller of the
/// number of steps of 0.05 cores and of 10 Mbit/s, from 1 to 100. Hubs are chosen among the strongest
/// instances, and a directory answer that cannot list all instances lists the strongest.
[[nodiscard]] int strengthOf(double cpuShare, double linkMbps) noexcept;

/// Liveness of an instance whose status the receiver already has, in a few bytes.
struct LivenessDigest
{
    /// Hash of the instance's name.
    std::uint32_t instance = 0;
    bool serving = false;
    /// Time since the instance itself reported that it is alive.
    milliseconds age{};
};

/// Caller addresses of at most 64 serving instances for one directory answer. If there are more, the
/// strongest are listed; among equally strong ones the choice depends on `seed`, so that answers with
/// different seeds spread the callers.
[[nodiscard]] std::vector<std::string> callerAddresses(std::vector<InstanceStatus> instances,
                                                       std::uint64_t seed);

/// Membership and failure detection by gossip: heartbeats carry liveness digests of all known instances. Does
/// no I/O. In a small cluster every instance sends heartbeats to every other. In a large one each instance
/// gossips with a few random peers, and one hub per availability zone aggregates the data that peers need
/// sooner, such as the load of upstreams, so that the cost per instance hardly grows with the size of the
/// cluster. Not thread-safe.
class Membership
{
public:
    /// Time between two heartbeats, which is one round.
    static constexpr milliseconds HeartbeatPeriod{200};
    /// Maximum number of peers in a small cluster, where each instance sends its heartbeats to all peers.
    static constexpr std::size_t MaxDirectPeers = 10;
    /// Number of random peers of its zone to which an instance sends each gossip heartbeat in a large
    /// cluster.
    static constexpr std::size_t FanOut = 4;
    /// In a large cluster the hubs carry liveness between the zones. In one of this many rounds an instance
    /// also gossips with a random peer of another zone, in case its hub cannot reach that zone.
    static constexpr std::uint64_t RoundsPerZoneGossip = 12;
    /// In a large cluster an instance gossips once in this many rounds.
    static constexpr std::uint64_t RoundsPerGossip = 3;
    /// An instance is considered dead when neither its status nor its liveness digest has been renewed for
    /// longer than this. Seven heartbeats, so that lost datagrams alone rarely cause a false detection.
    static constexpr milliseconds DeadAfter{1400};
    /// The same when more than `MaxDirectPeers` other instances are known, because gossip then needs several
    /// rounds to reach every instance.
    static constexpr milliseconds LargeDeadAfter{4000};
    /// An instance whose status and liveness digest have not been renewed for longer than this is removed.
    static constexpr milliseconds ForgetAfter{60000};
    /// Maximum number of instance statuses in one heartbeat, so that it fits into one datagram.
    static constexpr std::size_t MaxStatuses = 12;
    /// Heartbeats prefer the statuses of instances discovered less than this time ago.
    static constexpr milliseconds IntroductionTime{5000};
    /// Minimum number of instances that may call the store when the feeds of all others are stale.
    static constexpr std::size_t MinStoreReaders = 8;
    /// Time for which a hub that sends no heartbeats is not chosen again.
    static constexpr milliseconds HubBackoff{5000};

    /// The cluster as seen by the instance with this name, availability zone and strength.
    Membership(std::string ownName, std::string ownZone, int ownStrength = 1)
        : m_ownName(std::move(ownName))
        , m_ownZone(std::move(ownZone))
        , m_ownStrength(ownStrength)
    {}

    /// Merges the status of an instance, received from it or relayed, if it is newer than the known one.
    /// Statuses of this instance are ignored.
    void mergeStatus(const InstanceStatus &status, Instant now);

    /// Merges a liveness digest. An unknown instance is added to `unknownInstances`.
    void mergeDigest(const LivenessDigest &digest, Instant now);

    /// Records that a heartbeat has arrived from the instance itself.
    void recordHeartbeat(std::string_view name, Instant now);

    /// Checks that the hub of this zone still sends heartbeats to this instance. A hub that has sent none for
    /// `DeadAfter` is not chosen again for `HubBackoff`, since gossip alone would detect its failure later.
    /// Call once per round.
    void checkHub(Instant now);

    /// Whether an instance is considered alive. Always true for this instance.
    [[nodiscard]] bool isAlive(std::string_view name, Instant now) const;

    /// Statuses of the live instances other than this one, ordered by name, each with its current age.
    [[nodiscard]] std::vector<InstanceStatus> alive(Instant now) const;

    /// Number of live instances, including this one.
    [[nodiscard]] std::size_t size(Instant now) const;

    /// Whether there are too many instances to send every heartbeat to all of them.
    [[nodiscard]] bool isLarge(Instant now) const { return size(now) > MaxDirectPeers + 1; }

    /// Whether this instance knows more than twice as many live instances as a peer that knows `size`, which
    /// should then be answered at once.
    [[nodiscard]] bool knowsFarMoreThan(std::size_t size, Instant now) const
    {
        return this->size(now) > 2 * size;
    }

    /// Sets whether this instance accepts callers.
    void setServing(bool serving) noexcept { m_ownServing = serving; }

    /// The instance that ranks first for a key by rendezvous hash among the live ones that accept callers.
    /// Nothing if it is this instance.
    [[nodiscard]] std::optional<InstanceStatus> firstRanked(std::uint64_t key, Instant now) const;

    /// Peer addresses of up to `count` live instances other than this one, those that rank first for a key by
    /// rendezvous hash, in that order.
    [[nodiscard]] std::vector<std::string> rankedPeers(std::uint64_t key, std::size_t count,
                                                       Instant now) const;

    /// Notes whether the instances that accept callers have changed. Call once per round.
    void checkActive(Instant now);

    /// Whether other instances may be taken to have the same view of which instances accept callers: it has
    /// not changed for twice the time after which an instance is considered dead, and more than half of all
    /// known instances are among them, so that no other part of a divided cluster finds the same.
    [[nodiscard]] bool isSettled(Instant now) const;

    /// Name of the hub of an availability zone: among the strongest live instances that accept callers, the
    /// one that ranks first by rendezvous hash. While no instance of the zone accepts callers, because all
    /// have just started, the others rank likewise. Empty if the zone has no live instance.
    [[nodiscard]] std::string hubOf(std::string_view zone, Instant now) const;

    /// Peer addresses for the gossip heartbeat of a round: of all peers in a small cluster, else of `FanOut`
    /// random ones in this zone and, once in `RoundsPerZoneGossip`, of one in another zone.
    [[nodiscard]] std::vector<std::string> gossipTargets(Instant now, std::uint64_t round) const;

    /// Receivers of the heartbeats exchanged with hubs in each round of a large cluster: for the hub of a
    /// zone, the other hubs and the members of its zone; for any other instance, the hub of its zone.
    struct HubTargets
    {
        /// Whether this instance is the hub of its zone.
        bool isHub = false;
        /// Peer addresses of the hubs.
        std::vector<std::string> hubs;
        /// Live members of this zone; empty unless this instance is its hub.
        std::vector<InstanceStatus> members;
    };
    [[nodiscard]] HubTargets hubTargets(Instant now) const;

    /// Peers whose feed of the store this instance may follow in a large cluster: the hub of its zone first,
    /// then the hubs of the other zones, in an order that differs between instances, then the deputies of its
    /// zone. These rank next after the hub; all hubs and deputies together are at least `MinStoreReaders`.
    /// Empty in a small cluster.
    [[nodiscard]] FeedCandidates feedCandidates(Instant now) const;

    /// Statuses for the heartbeat of a round: those of up to `MaxStatuses` recently discovered instances,
    /// else that of one random instance.
    [[nodiscard]] std::vector<InstanceStatus> statusesToSend(Instant now, std::uint64_t round) const;

    /// Liveness digests of all live instances other than this one.
    [[nodiscard]] std::vector<LivenessDigest> digestsToSend(Instant now) const;

    /// Name hashes of instances that peers know and this instance does not, to request their statuses; at
    /// most `MaxStatuses`.
    [[nodiscard]] std::vector<std::uint32_t> unknownInstances() const;

    /// Statuses of the live instances with these name hashes.
    [[nodiscard]] std::vector<InstanceStatus> statusesOf(std::span<const std::uint32_t> nameHashes,
                                                         Instant now) const;

private:
    struct KnownInstance
    {
        InstanceStatus status;
        Instant lastSeenAt{};
        Instant discoveredAt{};
        /// Arrival of the last heartbeat from the instance itself.
        Instant lastHeartbeatAt{};
        /// Until this instant it is not chosen as a hub.
        Instant hubBackoffUntil{};
    };

    [[nodiscard]] bool isAlive(const KnownInstance &known, Instant now) const;

    /// Time after which an instance that has not been seen is considered dead.
    [[nodiscard]] milliseconds deadAfter() const noexcept;

    /// Hub names by availability zone: of this instance's zone and of each zone with a candidate.
    [[nodiscard]] std::map<std::string, std::string, std::less<>> hubs(Instant now) const;

    /// Names of up to `count` instances of this zone, ordered by their rank as a hub.
    [[nodiscard]] std::vector<std::string> highestRanked(std::size_t count, Instant now) const;

    [[nodiscard]] std::string peerAddressOf(const std::string &name) const;

    std::string m_ownName;
    std::string m_ownZone;
    int m_ownStrength;
    bool m_ownServing = false;
    std::map<std::string, KnownInstance, std::less<>> m_instances;
    std::unordered_map<std::uint32_t, std::string> m_nameByHash;
    std::set<std::uint32_t> m_unknownInstances;
    /// The hub of this instance's zone at the last check, and when it became the hub.
    std::string m_hub;
    Instant m_hubSince{};
    /// Names of the live instances that accept callers at the last check, and when they last changed.
    std::vector<std::string> m_activeInstances;
    std::optional<Instant> m_activeSince;
};

} // namespace chestnutsill
