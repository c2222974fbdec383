#include "chestnutsill/policy/membership.h"

#include "chestnutsill/policy/hash.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <tuple>

namespace chestnutsill {

namespace {

std::uint32_t shortHash(std::string_view name) noexcept
{
    return static_cast<std::uint32_t>(stableHash(name));
}

/// Pseudo-random sample of up to `count` items, determined by `seed`.
template<typename Item, typename NameOf>
std::vector<Item> sample(std::vector<Item> items, std::size_t count, std::uint64_t seed, const NameOf &nameOf)
{
    if (items.size() <= count)
        return items;
    std::sort(items.begin(), items.end(), [&](const Item &a, const Item &b) {
        return stableHash(nameOf(a), seed) < stableHash(nameOf(b), seed);
    });
    items.resize(count);
    return items;
}

/// Rank of an instance among the candidates for the hub of its zone; the highest is the hub.
using HubRank = std::tuple<bool, int, std::uint64_t>;

HubRank hubRank(std::string_view zone, std::string_view name, bool serving, int strength) noexcept
{
    return {serving, strength, stableHash(name, stableHash(zone))};
}

std::string_view nameOf(const InstanceStatus &status) noexcept
{
    return status.name;
}

} // namespace

std::vector<std::string> callerAddresses(std::vector<InstanceStatus> instances, std::uint64_t seed)
{
    // Callers use at most this many addresses of one answer.
    constexpr std::size_t MaxAddresses = 64;
    std::erase_if(instances, [](const InstanceStatus &instance) { return !instance.serving; });
    if (instances.size() > MaxAddresses) {
        std::sort(instances.begin(), instances.end(), [&](const InstanceStatus &a, const InstanceStatus &b) {
            return std::pair(a.strength, stableHash(a.name, seed))
                   > std::pair(b.strength, stableHash(b.name, seed));
        });
        instances.resize(MaxAddresses);
    }
    std::vector<std::string> addresses;
    addresses.reserve(instances.size());
    for (InstanceStatus &instance : instances)
        addresses.push_back(std::move(instance.callerAddress));
    return addresses;
}

int strengthOf(double cpuShare, double linkMbps) noexcept
{
    constexpr double CoreStep = 0.05;
    constexpr double LinkStep = 10;
    constexpr double MaxStrength = 100;
    return static_cast<int>(std::clamp(std::min(cpuShare / CoreStep, linkMbps / LinkStep), 1.0, MaxStrength));
}

void Membership::mergeStatus(const InstanceStatus &status, Instant now)
{
    if (status.name == m_ownName || status.name.empty())
        return;
    std::erase_if(m_instances, [&](const auto &item) { return now - item.second.lastSeenAt > ForgetAfter; });
    const Instant lastSeenAt = now - status.age;
    const auto [found, isNew] = m_instances.try_emplace(status.name);
    if (!isNew && found->second.lastSeenAt >= lastSeenAt)
        return;
    m_nameByHash[shortHash(status.name)] = status.name;
    m_unknownInstances.erase(shortHash(status.name));
    found->second.status = status;
    found->second.lastSeenAt = lastSeenAt;
    if (isNew)
        found->second.discoveredAt = now;
}

void Membership::mergeDigest(const LivenessDigest &digest, Instant now)
{
    const auto name = m_nameByHash.find(digest.instance);
    if (name == m_nameByHash.end() && digest.instance != shortHash(m_ownName)
        && m_unknownInstances.size() < MaxStatuses)
        m_unknownInstances.insert(digest.instance);
    const auto found = name == m_nameByHash.end() ? m_instances.end() : m_instances.find(name->second);
    if (found == m_instances.end() || found->second.lastSeenAt >= now - digest.age)
        return;
    found->second.lastSeenAt = now - digest.age;
    found->second.status.serving = digest.serving;
}

void Membership::recordHeartbeat(std::string_view name, Instant now)
{
    if (const auto found = m_instances.find(name); found != m_instances.end())
        found->second.lastHeartbeatAt = now;
}

void Membership::checkHub(Instant now)
{
    const std::string hub = hubOf(m_ownZone, now);
    if (hub != m_hub) {
        m_hub = hub;
        m_hubSince = now;
    }
    const auto found = m_instances.find(m_hub);
    if (found == m_instances.end() || now - m_hubSince <= DeadAfter
        || now - found->second.lastHeartbeatAt <= DeadAfter)
        return;
    found->second.hubBackoffUntil = now + HubBackoff;
}

std::optional<InstanceStatus> Membership::firstRanked(std::uint64_t key, Instant now) const
{
    const KnownInstance *first = nullptr;
    std::uint64_t highest = m_ownServing ? stableHash(m_ownName, key) : 0;
    for (const auto &[name, known] : m_instances) {
        const std::uint64_t rank = stableHash(name, key);
        if (!known.status.serving || rank <= highest || !isAlive(known, now))
            continue;
        highest = rank;
        first = &known;
    }
    return first == nullptr ? std::nullopt : std::optional(first->status);
}

std::vector<std::string> Membership::rankedPeers(std::uint64_t key, std::size_t count, Instant now) const
{
    std::vector<std::pair<std::uint64_t, const KnownInstance *>> ranked;
    ranked.reserve(m_instances.size());
    for (const auto &[name, known] : m_instances) {
        if (isAlive(known, now))
            ranked.emplace_back(stableHash(name, key), &known);
    }
    const std::size_t size = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(size), ranked.end(),
                      std::greater<>());
    std::vector<std::string> addresses;
    addresses.reserve(size);
    for (std::size_t i = 0; i < size; ++i)
        addresses.push_back(ranked[i].second->status.peerAddress);
    return addresses;
}

void Membership::checkActive(Instant now)
{
    std::vector<std::string> active;
    if (m_ownServing)
        active.push_back(m_ownName);
    for (const auto &[name, known] : m_instances) {
        if (known.status.serving && isAlive(known, now))
            active.push_back(name);
    }
    if (m_activeSince && active == m_activeInstances)
        return;
    m_activeInstances = std::move(active);
    m_activeSince = now;
}

bool Membership::isSettled(Instant now) const
{
    return m_activeSince && now - *m_activeSince >= 2 * deadAfter()
           && 2 * m_activeInstances.size() > m_instances.size() + 1;
}

std::map<std::string, std::string, std::less<>> Membership::hubs(Instant now) const
{
    std::map<std::string, std::string, std::less<>> hubs;
    std::map<std::string, HubRank, std::less<>> ranks;
    const auto consider = [&](const std::string &zone, const std::string &name, const HubRank &rank) {
        const auto [best, isFirst] = ranks.try_emplace(zone, rank);
        if (!isFirst && rank <= best->second)
            return;
        best->second = rank;
        hubs[zone] = name;
    };
    consider(m_ownZone, m_ownName, hubRank(m_ownZone, m_ownName, m_ownServing, m_ownStrength));
    for (const auto &[name, known] : m_instances) {
        const InstanceStatus &status = known.status;
        if (isAlive(known, now) && now >= known.hubBackoffUntil)
            consider(status.zone, name, hubRank(status.zone, name, status.serving, status.strength));
    }
    return hubs;
}

std::vector<std::string> Membership::highestRanked(std::size_t count, Instant now) const
{
    std::vector<std::pair<HubRank, std::string>> ranked{
        {hubRank(m_ownZone, m_ownName, m_ownServing, m_ownStrength), m_ownName}};
    for (const auto &[name, known] : m_instances) {
        const InstanceStatus &status = known.status;
        if (status.zone == m_ownZone && isAlive(known, now) && now >= known.hubBackoffUntil)
            ranked.emplace_back(hubRank(m_ownZone, name, status.serving, status.strength), name);
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    ranked.resize(std::min(ranked.size(), count));
    std::vector<std::string> names;
    names.reserve(ranked.size());
    for (auto &[rank, name] : ranked)
        names.push_back(std::move(name));
    return names;
}

std::string Membership::hubOf(std::string_view zone, Instant now) const
{
    const auto all = hubs(now);
    const auto found = all.find(zone);
    return found == all.end() ? std::string() : found->second;
}

std::string Membership::peerAddressOf(const std::string &name) const
{
    const auto found = m_instances.find(name);
    return found == m_instances.end() ? std::string() : found->second.status.peerAddress;
}

Membership::HubTargets Membership::hubTargets(Instant now) const
{
    HubTargets targets;
    const auto all = hubs(now);
    const std::string &ownHub = all.find(m_ownZone)->second;
    targets.isHub = ownHub == m_ownName;
    if (!targets.isHub) {
        targets.hubs.push_back(peerAddressOf(ownHub));
        return targets;
    }
    for (const auto &[zone, hub] : all) {
        if (zone != m_ownZone)
            targets.hubs.push_back(peerAddressOf(hub));
    }
    for (InstanceStatus &instance : alive(now)) {
        if (instance.zone == m_ownZone)
            targets.members.push_back(std::move(instance));
    }
    return targets;
}

FeedCandidates Membership::feedCandidates(Instant now) const
{
    FeedCandidates candidates;
    if (!isLarge(now))
        return candidates;
    const auto all = hubs(now);
    std::vector<std::pair<std::uint64_t, std::string>> others;
    others.reserve(all.size());
    for (const auto &[zone, hub] : all) {
        if (zone != m_ownZone)
            others.emplace_back(stableHash(m_ownName, stableHash(zone)), peerAddressOf(hub));
    }
    std::sort(others.begin(), others.end());
    const std::string &ownHub = all.find(m_ownZone)->second;
    candidates.isHub = ownHub == m_ownName;
    if (!candidates.isHub)
        candidates.addresses.push_back(peerAddressOf(ownHub));
    for (auto &[rank, address] : others)
        candidates.addresses.push_back(std::move(address));
    const std::size_t readersPerZone = (MinStoreReaders + all.size() - 1) / all.size();
    const auto ranked = highestRanked(std::max<std::size_t>(readersPerZone, 2), now);
    for (std::size_t i = 1; i < ranked.size(); ++i) {
        if (ranked[i] == m_ownName)
            candidates.isDeputy = true;
        else
            candidates.addresses.push_back(peerAddressOf(ranked[i]));
    }
    return candidates;
}

bool Membership::isAlive(const KnownInstance &known, Instant now) const
{
    return now - known.lastSeenAt <= deadAfter();
}

milliseconds Membership::deadAfter() const noexcept
{
    // Counts all known instances, because counting the live ones would need the limit itself.
    return m_instances.size() > MaxDirectPeers ? LargeDeadAfter : DeadAfter;
}

bool Membership::isAlive(std::string_view name, Instant now) const
{
    const auto found = m_instances.find(name);
    return name == m_ownName || (found != m_instances.end() && isAlive(found->second, now));
}

std::vector<InstanceStatus> Membership::alive(Instant now) const
{
    std::vector<InstanceStatus> instances;
    for (const auto &[name, known] : m_instances) {
        if (!isAlive(known, now))
            continue;
        instances.push_back(known.status);
        instances.back().age = std::chrono::duration_cast<milliseconds>(now - known.lastSeenAt);
    }
    return instances;
}

std::size_t Membership::size(Instant now) const
{
    return 1
           + static_cast<std::size_t>(
               std::count_if(m_instances.begin(), m_instances.end(),
                             [&](const auto &item) { return isAlive(item.second, now); }));
}

std::vector<std::string> Membership::gossipTargets(Instant now, std::uint64_t round) const
{
    const std::uint64_t seed = stableHash(m_ownName, round + 1);
    std::vector<InstanceStatus> sameZone = alive(now);
    std::vector<InstanceStatus> otherZones;
    std::size_t count = MaxDirectPeers;
    if (isLarge(now)) {
        const auto other = std::partition(sameZone.begin(), sameZone.end(),
                                          [&](const auto &instance) { return instance.zone == m_ownZone; });
        otherZones.assign(std::make_move_iterator(other), std::make_move_iterator(sameZone.end()));
        sameZone.erase(other, sameZone.end());
        count = FanOut;
    }
    std::vector<std::string> addresses;
    for (InstanceStatus &instance : sample(std::move(sameZone), count, seed, nameOf))
        addresses.push_back(std::move(instance.peerAddress));
    // Instances take their turn in different rounds.
    if ((round + shortHash(m_ownName) * RoundsPerGossip) % RoundsPerZoneGossip == 0) {
        for (InstanceStatus &instance : sample(std::move(otherZones), 1, seed, nameOf))
            addresses.push_back(std::move(instance.peerAddress));
    }
    return addresses;
}

std::vector<InstanceStatus> Membership::statusesToSend(Instant now, std::uint64_t round) const
{
    std::vector<InstanceStatus> found;
    for (InstanceStatus &instance : alive(now)) {
        if (now - m_instances.find(instance.name)->second.discoveredAt <= IntroductionTime)
            found.push_back(std::move(instance));
    }
    const std::uint64_t seed = stableHash(m_ownName, round + 1);
    if (!found.empty())
        return sample(std::move(found), MaxStatuses, seed, nameOf);
    // One is enough for a peer that has just joined, as it requests the statuses that it lacks (see
    // `unknownInstances`).
    return sample(alive(now), 1, seed, nameOf);
}

std::vector<std::uint32_t> Membership::unknownInstances() const
{
    return {m_unknownInstances.begin(), m_unknownInstances.end()};
}

std::vector<InstanceStatus> Membership::statusesOf(std::span<const std::uint32_t> nameHashes,
                                                   Instant now) const
{
    std::vector<InstanceStatus> instances;
    for (InstanceStatus &instance : alive(now)) {
        if (std::find(nameHashes.begin(), nameHashes.end(), shortHash(instance.name)) != nameHashes.end())
            instances.push_back(std::move(instance));
    }
    return instances;
}

std::vector<LivenessDigest> Membership::digestsToSend(Instant now) const
{
    std::vector<LivenessDigest> digests;
    for (const InstanceStatus &instance : alive(now))
        digests.push_back({shortHash(instance.name), instance.serving, instance.age});
    return digests;
}

} // namespace chestnutsill
