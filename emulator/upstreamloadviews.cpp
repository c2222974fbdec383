#include "upstreamloadviews.h"

#include <algorithm>

namespace chestnutsill::emulator {

UpstreamLoadViews::UpstreamLoadViews(int instances, int zones)
    : m_zones(std::min(zones, instances))
    , m_members(static_cast<std::size_t>(instances))
    , m_otherZones(static_cast<std::size_t>(m_zones))
{
    for (int i = 0; i < instances; ++i) {
        member(i).name = "i" + std::to_string(i);
        for (int zone = 0; zone < m_zones; ++zone) {
            if (zone != zoneOf(i))
                m_otherZones[static_cast<std::size_t>(zone)].insert(member(i).name);
        }
    }
}

bool UpstreamLoadViews::usesHubs() const
{
    return m_members.size() > Membership::MostDirect + 1;
}

void UpstreamLoadViews::sendHeartbeat(int instance, Instant now)
{
    Member &from = member(instance);
    const int count = static_cast<int>(m_members.size());
    std::vector<int> receivers;
    if (!usesHubs()) {
        for (int i = 0; i < count; ++i) {
            if (i == instance)
                continue;
            member(i).loads.hear(from.name, from.loads.own(), now);
            receivers.push_back(i);
        }
        sendCacheUpdates(from, instance, receivers, false);
        return;
    }
    const int hub = zoneOf(instance);
    if (instance != hub) {
        member(hub).loads.hear(from.name, from.loads.own(), now);
        sendCacheUpdates(from, instance, {hub}, true);
        return;
    }
    const auto sums = from.loads.sumWithout(m_otherZones[static_cast<std::size_t>(hub)], now);
    for (int other = 0; other < m_zones; ++other) {
        if (other == hub)
            continue;
        member(other).loads.hear(from.name, sums, now);
        receivers.push_back(other);
    }
    for (int i = hub + m_zones; i < count; i += m_zones) {
        member(i).loads.hear(from.name, from.loads.sumWithout({member(i).name}, now), now);
        receivers.push_back(i);
    }
    sendCacheUpdates(from, instance, receivers, true);
}

void UpstreamLoadViews::sendCacheUpdates(Member &from, int instance, const std::vector<int> &receivers,
                                         bool relay)
{
    for (const PrefixCacheUpdate &copy : from.parts.news()) {
        for (const int receiver : receivers)
            member(receiver).parts.hear(copy, relay && receiver < m_zones && instance != receiver);
    }
}

void UpstreamLoadViews::recordStart(int instance, const std::string &upstream, const Prompt &prompt,
                                    double unreadTokens, double memoryTokens)
{
    member(instance).loads.begin(upstream, unreadTokens);
    member(instance).parts.store(upstream, prompt, static_cast<std::uint64_t>(memoryTokens));
}

void UpstreamLoadViews::recordPrefill(int instance, const std::string &upstream, double unreadTokens)
{
    member(instance).loads.read(upstream, unreadTokens);
}

void UpstreamLoadViews::recordCached(int instance, const std::string &upstream, const Prompt &prompt)
{
    member(instance).parts.noteRead(upstream, prompt);
}

void UpstreamLoadViews::recordEnd(int instance, const std::string &upstream)
{
    member(instance).loads.end(upstream);
}

void UpstreamLoadViews::dropCache(const std::string &upstream)
{
    for (Member &each : m_members)
        each.parts.forget(upstream);
}

UpstreamCandidate UpstreamLoadViews::candidate(int instance, const std::string &upstream, int slots,
                                               const Prompt &prompt, Instant now) const
{
    const Member &viewer = m_members[static_cast<std::size_t>(instance)];
    const Load load = viewer.loads.total(upstream, now);
    const CachedTokens held = viewer.parts.held(upstream, prompt);
    return {.upstream = upstream,
            .slots = slots,
            .running = load.running,
            .unreadTokens = load.unreadTokens,
            .cachedTokens = held.cached,
            .readTokens = held.read};
}

} // namespace chestnutsill::emulator
