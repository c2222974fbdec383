#pragma once

#include "chestnutsill/policy/feedselector.h"
#include "chestnutsill/policy/instant.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chestnutsill {

/// What one instance tells of itself, or passes on of another.
struct InstanceStatus
{
    std::string name;
    /// Random number of the process; a restart changes it.
    std::uint64_t incarnation = 0;
    std::string zone;
    /// IP address and port for callers.
    std::string callerAddress;
    /// IP address and port for heartbeats.
    std::string peerAddress;
    /// Whether callers may be sent there.
    bool serving = false;
    /// How long ago the instance itself said so.
    milliseconds age{};
    /// What it can carry beside others, see `strengthOf`.
    int strength = 1;
};

/// What an instance with this part of a core and this link can carry, 1 the least: the lesser of its steps of
/// 0.05 cores and of 10 Mbit/s. Hubs are picked among the strongest, and where not all can be named, callers
/// are sent to them.
[[nodiscard]] int strengthOf(double cpuShare, double linkMbps) noexcept;

/// A sign of life of an instance that the receiver already knows, in a few bytes.
struct LivenessDigest
{
    /// Hash of the instance's name.
    std::uint32_t instance = 0;
    bool serving = false;
    milliseconds age{};
};

/// Addresses of instances that callers may use, for one directory answer: of the serving ones at most 64, the
/// strongest, and among equals others in each answer.
[[nodiscard]] std::vector<std::string> callerAddresses(std::vector<InstanceStatus> instances,
                                                       std::uint64_t seed);

/// Who else is alive, learnt from heartbeats that pass on signs of life of all others. It runs
/// without I/O. In a small fleet everybody tells everybody. In a large one each tells a few picked at random,
/// and one hub in each availability zone collects what must be known sooner, so that the cost of an instance
/// hardly grows with the fleet. Not thread-safe.
class Membership
{
public:
    /// Time between two heartbeats.
    static constexpr milliseconds HeartbeatPeriod{200};
    /// Most instances that are told everything directly; a larger fleet is a large one.
    static constexpr std::size_t MaxDirectPeers = 10;
    /// In a large fleet: instances told by each round of gossip, and heartbeats from one round to the next.
    static constexpr std::size_t FanOut = 4;
    static constexpr std::uint64_t RoundsPerGossip = 3;
    /// An instance without news for this long counts as dead: seven heartbeats, so that lost datagrams alone
    /// rarely make one look dead; in a large fleet the news takes a few rounds.
    static constexpr milliseconds DeadAfter{1400};
    static constexpr milliseconds LargeDeadAfter{4000};
    /// Dead instances are forgotten after this time.
    static constexpr milliseconds ForgetAfter{60000};
    /// Most instances that one heartbeat introduces to its receiver, so that it fits into one datagram.
    static constexpr std::size_t MaxStatuses = 12;
    /// How long a newly found instance is introduced to others first.
    static constexpr milliseconds IntroductionTime{5000};
    /// How long a hub that has fallen silent is passed over.
    static constexpr milliseconds HubBackoff{5000};

    /// A fleet seen by the instance of this name in this availability zone.
    Membership(std::string ownName, std::string ownZone, int ownStrength = 1)
        : m_ownName(std::move(ownName))
        , m_ownZone(std::move(ownZone))
        , m_ownStrength(ownStrength)
    {}

    /// Takes news of an instance, from itself or passed on. News of this instance itself is ignored.
    void mergeStatus(const InstanceStatus &status, Instant now);

    /// Takes a sign of life. One of an instance that is not known yet makes it wanted.
    void mergeDigest(const LivenessDigest &digest, Instant now);

    /// Records that a heartbeat of an instance has come from itself.
    void recordHeartbeat(std::string_view name, Instant now);

    /// Looks whether the hub of the own zone still talks to this instance, and passes it over for a while if
    /// it doesn't: the gossip alone would notice its death later. Call once for each heartbeat.
    void checkHub(Instant now);

    /// Whether an instance has been heard of lately.
    [[nodiscard]] bool isAlive(std::string_view name, Instant now) const;

    /// Live instances other than this one, in order of their names, with the age of what is known of them.
    [[nodiscard]] std::vector<InstanceStatus> alive(Instant now) const;

    /// Number of live instances, this one included.
    [[nodiscard]] std::size_t size(Instant now) const;

    /// Whether there are too many instances to tell each of them everything.
    [[nodiscard]] bool isLarge(Instant now) const { return size(now) > MaxDirectPeers + 1; }

    /// Whether an instance that knows of `size` instances should be answered at once, because this one knows
    /// of far more.
    [[nodiscard]] bool knowsFarMoreThan(std::size_t size, Instant now) const
    {
        return this->size(now) > 2 * size;
    }

    /// The live instance that is the hub of an availability zone: of the strongest the first by rendezvous
    /// hash; empty when there is none.
    [[nodiscard]] std::string hubOf(std::string_view zone, Instant now) const;

    /// Addresses to send the heartbeat of a turn to, for gossip.
    [[nodiscard]] std::vector<std::string> gossipTargets(Instant now, std::uint64_t round) const;

    /// In a large fleet, what goes from and to hubs at each turn: addresses of other hubs and of the members
    /// of the own zone, if this instance is the hub of its zone; else the address of that hub.
    struct HubTargets
    {
        bool isHub = false;
        std::vector<std::string> hubs;
        std::vector<InstanceStatus> members;
    };
    [[nodiscard]] HubTargets hubTargets(Instant now) const;

    /// Whom to follow the store through in a large fleet: the hub of the own zone first, then those of the
    /// others, in an order that differs from instance to instance. Names nobody in a small fleet.
    [[nodiscard]] FeedCandidates feedCandidates(Instant now) const;

    /// Instances to statusesOf, and signs of life of all, for the heartbeat of a turn.
    [[nodiscard]] std::vector<InstanceStatus> statusesToSend(Instant now, std::uint64_t round) const;
    [[nodiscard]] std::vector<LivenessDigest> digestsToSend(Instant now) const;

    /// Instances that others know and this one doesn't, by hash of their names; and the news of those that a
    /// peer wants.
    [[nodiscard]] std::vector<std::uint32_t> wanted() const;
    [[nodiscard]] std::vector<InstanceStatus> statusesOf(std::span<const std::uint32_t> wanted,
                                                         Instant now) const;

private:
    struct KnownInstance
    {
        InstanceStatus status;
        Instant lastSeenAt{};
        Instant discoveredAt{};
        /// When its last own heartbeat came.
        Instant lastHeartbeatAt{};
        /// Until when it is passed over as a hub.
        Instant hubBackoffUntil{};
    };

    [[nodiscard]] bool isAlive(const KnownInstance &known, Instant now) const;

    /// The hub of each availability zone in which an instance serves, and of the own one.
    [[nodiscard]] std::map<std::string, std::string, std::less<>> hubs(Instant now) const;

    [[nodiscard]] std::string peerAddressOf(const std::string &name) const;

    std::string m_ownName;
    std::string m_ownZone;
    int m_ownStrength;
    std::map<std::string, KnownInstance, std::less<>> m_instances;
    std::unordered_map<std::uint32_t, std::string> m_nameByHash;
    std::set<std::uint32_t> m_wanted;
    /// The hub of the own zone, and since when.
    std::string m_hub;
    Instant m_hubSince{};
};

} // namespace chestnutsill
