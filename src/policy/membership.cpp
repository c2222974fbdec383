#include "chestnutsill/policy/membership.h"

#include "chestnutsill/policy/hash.h"

#include <algorithm>

namespace chestnutsill {

namespace {

std::uint32_t shortHash(std::string_view name) noexcept
{
    return static_cast<std::uint32_t>(stableHash(name));
}

/// Takes `count` items in an order that differs from turn to turn.
template<typename Item, typename NameOf>
std::vector<Item> pick(std::vector<Item> items, std::size_t count, std::uint64_t seed, const NameOf &nameOf)
{
    if (items.size() <= count)
        return items;
    std::sort(items.begin(), items.end(), [&](const Item &a, const Item &b) {
        return stableHash(nameOf(a), seed) < stableHash(nameOf(b), seed);
    });
    items.resize(count);
    return items;
}

std::string_view nameOf(const InstanceStatus &news) noexcept
{
    return news.name;
}

} // namespace

std::vector<std::string> callerAddresses(std::vector<InstanceStatus> instances, std::uint64_t answer)
{
    // Callers take no more from one answer.
    constexpr std::size_t MostNamed = 64;
    std::erase_if(instances, [](const InstanceStatus &instance) { return !instance.serving; });
    if (instances.size() > MostNamed) {
        std::sort(instances.begin(), instances.end(), [&](const InstanceStatus &a, const InstanceStatus &b) {
            return std::pair(a.strength, stableHash(a.name, answer))
                   > std::pair(b.strength, stableHash(b.name, answer));
        });
        instances.resize(MostNamed);
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
    constexpr double Most = 100;
    return static_cast<int>(std::clamp(std::min(cpuShare / CoreStep, linkMbps / LinkStep), 1.0, Most));
}

void Membership::hear(const InstanceStatus &news, Instant now)
{
    if (news.name == m_ownName || news.name.empty())
        return;
    std::erase_if(m_known, [&](const auto &item) { return now - item.second.heardAt > ForgetAfter; });
    const Instant heardAt = now - news.age;
    const auto [found, isNew] = m_known.try_emplace(news.name);
    if (!isNew && found->second.heardAt >= heardAt)
        return;
    m_nameByHash[shortHash(news.name)] = news.name;
    m_wanted.erase(shortHash(news.name));
    found->second.news = news;
    found->second.heardAt = heardAt;
    if (isNew)
        found->second.foundAt = now;
}

void Membership::hear(const LivenessDigest &sign, Instant now)
{
    const auto name = m_nameByHash.find(sign.instance);
    if (name == m_nameByHash.end() && sign.instance != shortHash(m_ownName) && m_wanted.size() < MaxNews)
        m_wanted.insert(sign.instance);
    const auto found = name == m_nameByHash.end() ? m_known.end() : m_known.find(name->second);
    if (found == m_known.end() || found->second.heardAt >= now - sign.age)
        return;
    found->second.heardAt = now - sign.age;
    found->second.news.serving = sign.serving;
}

void Membership::heardDirectly(std::string_view name, Instant now)
{
    if (const auto found = m_known.find(name); found != m_known.end())
        found->second.directAt = now;
}

void Membership::watchHub(Instant now)
{
    const std::string hub = hubOf(m_ownZone, now);
    if (hub != m_hub) {
        m_hub = hub;
        m_hubSince = now;
    }
    const auto found = m_known.find(m_hub);
    if (found == m_known.end() || now - m_hubSince <= DeadAfter || now - found->second.directAt <= DeadAfter)
        return;
    found->second.passedOverUntil = now + PassOverFor;
}

std::map<std::string, std::string, std::less<>> Membership::hubs(Instant now) const
{
    std::map<std::string, std::string, std::less<>> hubs;
    std::map<std::string, std::pair<int, std::uint64_t>, std::less<>> ranks;
    const auto consider = [&](const std::string &zone, const std::string &name, int strength) {
        const std::pair rank(strength, stableHash(name, stableHash(zone)));
        const auto [best, isFirst] = ranks.try_emplace(zone, rank);
        if (!isFirst && rank <= best->second)
            return;
        best->second = rank;
        hubs[zone] = name;
    };
    consider(m_ownZone, m_ownName, m_ownStrength);
    for (const auto &[name, known] : m_known) {
        if (known.news.serving && isAlive(known, now) && now >= known.passedOverUntil)
            consider(known.news.zone, name, known.news.strength);
    }
    return hubs;
}

std::string Membership::hubOf(std::string_view zone, Instant now) const
{
    const auto all = hubs(now);
    const auto found = all.find(zone);
    return found == all.end() ? std::string() : found->second;
}

std::string Membership::peerAddressOf(const std::string &name) const
{
    const auto found = m_known.find(name);
    return found == m_known.end() ? std::string() : found->second.news.peerAddress;
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

FeedCandidates Membership::feedPeers(Instant now) const
{
    FeedCandidates peers;
    if (!isLarge(now))
        return peers;
    const auto all = hubs(now);
    std::vector<std::pair<std::uint64_t, std::string>> others;
    others.reserve(all.size());
    for (const auto &[zone, hub] : all) {
        if (zone != m_ownZone)
            others.emplace_back(stableHash(m_ownName, stableHash(zone)), peerAddressOf(hub));
    }
    std::sort(others.begin(), others.end());
    const std::string &ownHub = all.find(m_ownZone)->second;
    peers.storeFirst = ownHub == m_ownName;
    if (!peers.storeFirst)
        peers.addresses.push_back(peerAddressOf(ownHub));
    for (auto &[rank, address] : others)
        peers.addresses.push_back(std::move(address));
    return peers;
}

bool Membership::isAlive(const Known &known, Instant now) const
{
    const milliseconds limit = m_known.size() > MostDirect ? LargeDeadAfter : DeadAfter;
    return now - known.heardAt <= limit;
}

bool Membership::isAlive(std::string_view name, Instant now) const
{
    const auto found = m_known.find(name);
    return name == m_ownName || (found != m_known.end() && isAlive(found->second, now));
}

std::vector<InstanceStatus> Membership::alive(Instant now) const
{
    std::vector<InstanceStatus> instances;
    for (const auto &[name, known] : m_known) {
        if (!isAlive(known, now))
            continue;
        instances.push_back(known.news);
        instances.back().age = std::chrono::duration_cast<milliseconds>(now - known.heardAt);
    }
    return instances;
}

std::size_t Membership::size(Instant now) const
{
    return 1 + static_cast<std::size_t>(std::count_if(m_known.begin(), m_known.end(), [&](const auto &item) {
               return isAlive(item.second, now);
           }));
}

std::vector<std::string> Membership::targets(Instant now, std::uint64_t turn) const
{
    const std::uint64_t seed = stableHash(m_ownName, turn + 1);
    const std::size_t count = isLarge(now) ? FanOut : MostDirect;
    std::vector<std::string> addresses;
    for (InstanceStatus &instance : pick(alive(now), count, seed, nameOf))
        addresses.push_back(std::move(instance.peerAddress));
    return addresses;
}

std::vector<InstanceStatus> Membership::newsToPass(Instant now, std::uint64_t turn) const
{
    std::vector<InstanceStatus> found;
    for (InstanceStatus &instance : alive(now)) {
        if (now - m_known.find(instance.name)->second.foundAt <= IntroduceFor)
            found.push_back(std::move(instance));
    }
    const std::uint64_t seed = stableHash(m_ownName, turn + 1);
    if (!found.empty())
        return pick(std::move(found), MaxNews, seed, nameOf);
    // One at a time is enough for those who have just come.
    return pick(alive(now), 1, seed, nameOf);
}

std::vector<std::uint32_t> Membership::wanted() const
{
    return {m_wanted.begin(), m_wanted.end()};
}

std::vector<InstanceStatus> Membership::introduce(std::span<const std::uint32_t> wanted, Instant now) const
{
    std::vector<InstanceStatus> instances;
    for (InstanceStatus &instance : alive(now)) {
        if (std::find(wanted.begin(), wanted.end(), shortHash(instance.name)) != wanted.end())
            instances.push_back(std::move(instance));
    }
    return instances;
}

std::vector<LivenessDigest> Membership::signsToPass(Instant now) const
{
    std::vector<LivenessDigest> signs;
    for (const InstanceStatus &instance : alive(now))
        signs.push_back({shortHash(instance.name), instance.serving, instance.age});
    return signs;
}

} // namespace chestnutsill
