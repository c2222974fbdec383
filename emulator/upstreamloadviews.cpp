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
    return m_members.size() > Membership::MaxDirectPeers + 1;
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
            member(i).loads.mergeLoads(from.name, from.loads.localLoads(), now);
            receivers.push_back(i);
        }
        sendCacheUpdates(from, instance, receivers, false);
        return;
    }
    const int hub = zoneOf(instance);
    if (instance != hub) {
        member(hub).loads.mergeLoads(from.name, from.loads.localLoads(), now);
        sendCacheUpdates(from, instance, {hub}, true);
        return;
    }
    const auto sums = from.loads.sumExcluding(m_otherZones[static_cast<std::size_t>(hub)], now);
    for (int other = 0; other < m_zones; ++other) {
        if (other == hub)
            continue;
        member(other).loads.mergeLoads(from.name, sums, now);
        receivers.push_back(other);
    }
    for (int i = hub + m_zones; i < count; i += m_zones) {
        member(i).loads.mergeLoads(from.name, from.loads.sumExcluding({member(i).name}, now), now);
        receivers.push_back(i);
    }
    sendCacheUpdates(from, instance, receivers, true);
}

void UpstreamLoadViews::sendCacheUpdates(Member &from, int instance, const std::vector<int> &receivers,
                                         bool relay)
{
    for (const PrefixCacheUpdate &update : from.parts.takeUpdates()) {
        for (const int receiver : receivers)
            member(receiver).parts.mergeUpdate(update, relay && receiver < m_zones && instance != receiver);
    }
}

void UpstreamLoadViews::recordStart(int instance, const std::string &upstream, const Prompt &prompt,
                                    double tokensToPrefill, double memoryTokens)
{
    member(instance).loads.recordStart(upstream, tokensToPrefill);
    member(instance).parts.recordSend(upstream, prompt, static_cast<std::uint64_t>(memoryTokens));
}

void UpstreamLoadViews::recordPrefill(int instance, const std::string &upstream, double tokensToPrefill)
{
    member(instance).loads.recordPrefill(upstream, tokensToPrefill);
}

void UpstreamLoadViews::recordCached(int instance, const std::string &upstream, const Prompt &prompt)
{
    member(instance).parts.recordPrefill(upstream, prompt);
}

void UpstreamLoadViews::recordEnd(int instance, const std::string &upstream)
{
    member(instance).loads.recordEnd(upstream);
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
    const CachedTokens held = viewer.parts.lookup(upstream, prompt);
    return {.upstream = upstream,
            .slots = slots,
            .running = load.running,
            .tokensToPrefill = load.tokensToPrefill,
            .cachedTokens = held.cached,
            .prefilledTokens = held.prefilled};
}

} // namespace chestnutsill::emulator
