#include "chestnutsill/policy/fleet.h"

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

std::string_view nameOf(const InstanceNews &news) noexcept
{
    return news.name;
}

} // namespace

std::vector<std::string> callerAddresses(std::vector<InstanceNews> instances, std::uint64_t answer)
{
    // Callers take no more from one answer.
    constexpr std::size_t MostNamed = 64;
    std::erase_if(instances, [](const InstanceNews &instance) { return !instance.serving; });
    if (instances.size() > MostNamed) {
        std::sort(instances.begin(), instances.end(), [&](const InstanceNews &a, const InstanceNews &b) {
            return std::pair(a.strength, stableHash(a.name, answer))
                   > std::pair(b.strength, stableHash(b.name, answer));
        });
        instances.resize(MostNamed);
    }
    std::vector<std::string> addresses;
    addresses.reserve(instances.size());
    for (InstanceNews &instance : instances)
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

void Fleet::hear(const InstanceNews &news, Instant now)
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

void Fleet::hear(const LifeSign &sign, Instant now)
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

void Fleet::heardDirectly(std::string_view name, Instant now)
{
    if (const auto found = m_known.find(name); found != m_known.end())
        found->second.directAt = now;
}

void Fleet::watchHub(Instant now)
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

Fleet::HubTargets Fleet::hubTargets(Instant now) const
{
    HubTargets targets;
    const auto known = alive(now);
    const auto addressOf = [&](const std::string &name) {
        const auto found = m_known.find(name);
        return found == m_known.end() ? std::string() : found->second.news.peerAddress;
    };
    const std::string ownHub = hubOf(m_ownZone, now);
    targets.isHub = ownHub == m_ownName;
    if (!targets.isHub) {
        targets.hubs.push_back(addressOf(ownHub));
        return targets;
    }
    std::set<std::string> zones;
    for (const InstanceNews &instance : known) {
        if (instance.zone == m_ownZone)
            targets.members.push_back(instance);
        else
            zones.insert(instance.zone);
    }
    for (const std::string &zone : zones) {
        if (const std::string hub = hubOf(zone, now); !hub.empty())
            targets.hubs.push_back(addressOf(hub));
    }
    return targets;
}

FeedPeers Fleet::feedPeers(Instant now) const
{
    FeedPeers peers;
    if (!isLarge(now))
        return peers;
    const std::string ownHub = hubOf(m_ownZone, now);
    peers.storeFirst = ownHub == m_ownName;
    std::set<std::string> zones;
    for (const auto &[name, known] : m_known) {
        if (known.news.zone != m_ownZone && isAlive(known, now))
            zones.insert(known.news.zone);
    }
    std::vector<std::pair<std::uint64_t, std::string>> others;
    others.reserve(zones.size() + 1);
    for (const std::string &zone : zones)
        others.emplace_back(stableHash(m_ownName, stableHash(zone)), hubOf(zone, now));
    std::sort(others.begin(), others.end());
    if (!peers.storeFirst)
        others.insert(others.begin(), {0, ownHub});
    for (const auto &[rank, name] : others) {
        if (const auto found = m_known.find(name); found != m_known.end())
            peers.addresses.push_back(found->second.news.peerAddress);
    }
    return peers;
}

bool Fleet::isAlive(const Known &known, Instant now) const
{
    const milliseconds limit = m_known.size() > MostDirect ? LargeDeadAfter : DeadAfter;
    return now - known.heardAt <= limit;
}

bool Fleet::isAlive(std::string_view name, Instant now) const
{
    const auto found = m_known.find(name);
    return name == m_ownName || (found != m_known.end() && isAlive(found->second, now));
}

std::vector<InstanceNews> Fleet::alive(Instant now) const
{
    std::vector<InstanceNews> instances;
    for (const auto &[name, known] : m_known) {
        if (!isAlive(known, now))
            continue;
        instances.push_back(known.news);
        instances.back().age = std::chrono::duration_cast<milliseconds>(now - known.heardAt);
    }
    return instances;
}

std::size_t Fleet::size(Instant now) const
{
    return 1 + static_cast<std::size_t>(std::count_if(m_known.begin(), m_known.end(), [&](const auto &item) {
               return isAlive(item.second, now);
           }));
}

std::string Fleet::hubOf(std::string_view zone, Instant now) const
{
    std::string hub;
    std::pair<int, std::uint64_t> best;
    const auto consider = [&](const std::string &name, int strength) {
        const std::pair<int, std::uint64_t> rank{strength, stableHash(name, stableHash(zone))};
        if (hub.empty() || rank > best) {
            hub = name;
            best = rank;
        }
    };
    if (zone == m_ownZone)
        consider(m_ownName, m_ownStrength);
    for (const auto &[name, known] : m_known) {
        if (known.news.zone == zone && known.news.serving && isAlive(known, now)
            && now >= known.passedOverUntil)
            consider(name, known.news.strength);
    }
    return hub;
}

std::vector<std::string> Fleet::targets(Instant now, std::uint64_t turn) const
{
    const std::uint64_t seed = stableHash(m_ownName, turn + 1);
    const std::size_t count = isLarge(now) ? FanOut : MostDirect;
    std::vector<std::string> addresses;
    for (InstanceNews &instance : pick(alive(now), count, seed, nameOf))
        addresses.push_back(std::move(instance.peerAddress));
    return addresses;
}

std::vector<InstanceNews> Fleet::newsToPass(Instant now, std::uint64_t turn) const
{
    std::vector<InstanceNews> found;
    for (InstanceNews &instance : alive(now)) {
        if (now - m_known.find(instance.name)->second.foundAt <= IntroduceFor)
            found.push_back(std::move(instance));
    }
    const std::uint64_t seed = stableHash(m_ownName, turn + 1);
    if (!found.empty())
        return pick(std::move(found), MaxNews, seed, nameOf);
    // One at a time is enough for those who have just come.
    return pick(alive(now), 1, seed, nameOf);
}

std::vector<std::uint32_t> Fleet::wanted() const
{
    return {m_wanted.begin(), m_wanted.end()};
}

std::vector<InstanceNews> Fleet::introduce(std::span<const std::uint32_t> wanted, Instant now) const
{
    std::vector<InstanceNews> instances;
    for (InstanceNews &instance : alive(now)) {
        if (std::find(wanted.begin(), wanted.end(), shortHash(instance.name)) != wanted.end())
            instances.push_back(std::move(instance));
    }
    return instances;
}

std::vector<LifeSign> Fleet::signsToPass(Instant now) const
{
    std::vector<LifeSign> signs;
    for (const InstanceNews &instance : alive(now))
        signs.push_back({shortHash(instance.name), instance.serving, instance.age});
    return signs;
}

} // namespace chestnutsill
