#include "fleetpicture.h"

#include <algorithm>

namespace chestnutsill::emulator {

FleetPicture::FleetPicture(int instances, int zones)
    : m_zones(std::min(zones, instances))
    , m_members(static_cast<std::size_t>(instances))
    , m_elsewhere(static_cast<std::size_t>(m_zones))
{
    for (int i = 0; i < instances; ++i) {
        member(i).name = "i" + std::to_string(i);
        for (int zone = 0; zone < m_zones; ++zone) {
            if (zone != zoneOf(i))
                m_elsewhere[static_cast<std::size_t>(zone)].insert(member(i).name);
        }
    }
}

bool FleetPicture::isLarge() const
{
    return m_members.size() > Membership::MaxDirectPeers + 1;
}

void FleetPicture::beat(int instance, Instant now)
{
    Member &from = member(instance);
    const int count = static_cast<int>(m_members.size());
    std::vector<int> receivers;
    if (!isLarge()) {
        for (int i = 0; i < count; ++i) {
            if (i == instance)
                continue;
            member(i).loads.mergeLoads(from.name, from.loads.localLoads(), now);
            receivers.push_back(i);
        }
        tellCopies(from, instance, receivers, false);
        return;
    }
    const int hub = zoneOf(instance);
    if (instance != hub) {
        member(hub).loads.mergeLoads(from.name, from.loads.localLoads(), now);
        tellCopies(from, instance, {hub}, true);
        return;
    }
    const auto sums = from.loads.sumExcluding(m_elsewhere[static_cast<std::size_t>(hub)], now);
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
    tellCopies(from, instance, receivers, true);
}

void FleetPicture::tellCopies(Member &from, int instance, const std::vector<int> &receivers, bool tellOn)
{
    for (const PrefixCacheUpdate &copy : from.parts.takeUpdates()) {
        for (const int receiver : receivers)
            member(receiver).parts.mergeUpdate(copy, tellOn && receiver < m_zones && instance != receiver);
    }
}

void FleetPicture::begin(int instance, const std::string &upstream, const Prompt &prompt,
                         double tokensToPrefill, double memoryTokens)
{
    member(instance).loads.recordStart(upstream, tokensToPrefill);
    member(instance).parts.recordSend(upstream, prompt, static_cast<std::uint64_t>(memoryTokens));
}

void FleetPicture::read(int instance, const std::string &upstream, double tokensToPrefill)
{
    member(instance).loads.recordPrefill(upstream, tokensToPrefill);
}

void FleetPicture::noteRead(int instance, const std::string &upstream, const Prompt &prompt)
{
    member(instance).parts.recordPrefill(upstream, prompt);
}

void FleetPicture::end(int instance, const std::string &upstream)
{
    member(instance).loads.recordEnd(upstream);
}

void FleetPicture::forget(const std::string &upstream)
{
    for (Member &each : m_members)
        each.parts.forget(upstream);
}

UpstreamCandidate FleetPicture::candidate(int instance, const std::string &upstream, int slots,
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
