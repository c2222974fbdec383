#include "chestnutsill/policy/catalog.h"

#include <algorithm>

namespace chestnutsill {

bool Catalog::applyTable(std::shared_ptr<const RoutingTable> table)
{
    if (!table || (m_table && table->version <= m_table->version))
        return false;
    m_table = std::move(table);
    return true;
}

void Catalog::setZoneOutOfService(std::string_view zone, bool out)
{
    if (out)
        m_zonesOutOfService.emplace(zone);
    else if (const auto found = m_zonesOutOfService.find(zone); found != m_zonesOutOfService.end())
        m_zonesOutOfService.erase(found);
}

bool Catalog::isZoneOutOfService(std::string_view zone) const
{
    return m_zonesOutOfService.contains(zone);
}

milliseconds Catalog::coldStartOf(std::string_view service) const
{
    if (!m_table)
        return {};
    const auto found = m_table->services.find(service);
    return found == m_table->services.end() ? milliseconds{} : found->second.coldStart;
}

void Catalog::updateUpstream(UpstreamEntry entry, std::uint64_t revision, Instant now)
{
    UpstreamRecord &record = m_upstreams[entry.id];
    if (record.revision > revision)
        return;
    const bool restarted = record.entry.startUnixMs != 0 && record.entry.startUnixMs != entry.startUnixMs;
    // A revision that is read again must not restart the cold start: its remaining time counts from the
    // write.
    if (record.revision != revision)
        record.coldUntil = std::max(record.coldUntil, now + entry.coldRemaining);
    if (restarted)
        record.coldUntil = std::max<Instant>(record.coldUntil, now + coldStartOf(entry.service));
    record.entry = std::move(entry);
    record.revision = revision;
    record.removeAt.reset();
}

void Catalog::removeUpstream(std::string_view id, std::uint64_t revision, Instant now)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end() || found->second.revision > revision)
        return;
    // During a store outage leases expire although their holders live, so the removal is delayed.
    if (m_storeLost || now < m_removalsDelayedUntil) {
        if (!found->second.removeAt)
            found->second.removeAt = std::max<Instant>(m_removalsDelayedUntil, now);
        return;
    }
    m_upstreams.erase(found);
}

void Catalog::suspectRestart(std::string_view id, Instant now)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return;
    UpstreamRecord &record = found->second;
    record.coldUntil = std::max<Instant>(record.coldUntil, now + coldStartOf(record.entry.service));
}

void Catalog::recordStoreLost(Instant lastAnswerAt) noexcept
{
    if (!m_storeLost)
        m_storeLostSince = lastAnswerAt;
    m_storeLost = true;
}

void Catalog::recordPeerFollowed(milliseconds followed, Instant now)
{
    if (m_storeLost || now >= m_removalsDelayedUntil || now - followed >= m_storeLostSince)
        return;
    m_removalsDelayedUntil = now;
    std::erase_if(m_upstreams, [](const auto &item) { return item.second.removeAt.has_value(); });
}

void Catalog::recordStoreRegained(Instant now) noexcept
{
    if (!m_storeLost)
        return;
    m_storeLost = false;
    m_removalsDelayedUntil = now + RemovalDelay;
    for (auto &[id, record] : m_upstreams) {
        if (record.removeAt)
            record.removeAt = m_removalsDelayedUntil;
    }
}

void Catalog::removeExpired(Instant now)
{
    if (m_storeLost)
        return;
    std::erase_if(m_upstreams,
                  [&](const auto &item) { return item.second.removeAt && *item.second.removeAt <= now; });
}

bool Catalog::isUsable(const UpstreamRecord &record) const
{
    return !record.entry.leaving && !isZoneOutOfService(record.entry.zone);
}

std::vector<const UpstreamRecord *> Catalog::usableUpstreams(std::string_view service) const
{
    std::vector<const UpstreamRecord *> records;
    for (const auto &[id, record] : m_upstreams) {
        if (record.entry.service == service && isUsable(record))
            records.push_back(&record);
    }
    return records;
}

const UpstreamRecord *Catalog::find(std::string_view id) const
{
    const auto found = m_upstreams.find(id);
    return found == m_upstreams.end() ? nullptr : &found->second;
}

bool Catalog::isUsable(std::string_view id) const
{
    const UpstreamRecord *record = find(id);
    return record != nullptr && isUsable(*record);
}

} // namespace chestnutsill
