#include "chestnutsill/policy/catalog.h"

#include <algorithm>

namespace chestnutsill {

bool Catalog::offerTable(std::shared_ptr<const RoutingTable> table)
{
    if (!table || (m_table && table->version <= m_table->version))
        return false;
    m_table = std::move(table);
    return true;
}

void Catalog::setZoneOut(std::string_view zone, bool out)
{
    if (out)
        m_zonesOut.emplace(zone);
    else if (const auto found = m_zonesOut.find(zone); found != m_zonesOut.end())
        m_zonesOut.erase(found);
}

bool Catalog::isZoneOut(std::string_view zone) const
{
    return m_zonesOut.contains(zone);
}

milliseconds Catalog::coldStartOf(std::string_view service) const
{
    if (!m_table)
        return {};
    const auto found = m_table->services.find(service);
    return found == m_table->services.end() ? milliseconds{} : found->second.coldStart;
}

void Catalog::publish(UpstreamEntry entry, std::uint64_t revision, Instant now)
{
    UpstreamRecord &record = m_upstreams[entry.id];
    if (record.revision > revision)
        return;
    const bool restarted = record.entry.bornMs != 0 && record.entry.bornMs != entry.bornMs;
    // Read again after a gap, an entry says how long the upstream was cold when it was written, not now.
    if (record.revision != revision)
        record.coldUntil = std::max(record.coldUntil, now + entry.coldFor);
    if (restarted)
        record.coldUntil = std::max<Instant>(record.coldUntil, now + coldStartOf(entry.service));
    record.entry = std::move(entry);
    record.revision = revision;
    record.goneAt.reset();
}

void Catalog::withdraw(std::string_view id, std::uint64_t revision, Instant now)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end() || found->second.revision > revision)
        return;
    // During an outage leases lapse although their holders live, so the entry is kept for a while.
    if (m_storeLost || now < m_lapseUntil) {
        if (!found->second.goneAt)
            found->second.goneAt = std::max<Instant>(m_lapseUntil, now);
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

void Catalog::storeLost(Instant lastAnswerAt) noexcept
{
    if (!m_storeLost)
        m_lostSince = lastAnswerAt;
    m_storeLost = true;
}

void Catalog::peerFollowed(milliseconds time, Instant now)
{
    if (m_storeLost || now >= m_lapseUntil || now - time >= m_lostSince)
        return;
    m_lapseUntil = now;
    std::erase_if(m_upstreams, [](const auto &item) { return item.second.goneAt.has_value(); });
}

void Catalog::storeRegained(Instant now) noexcept
{
    if (!m_storeLost)
        return;
    m_storeLost = false;
    m_lapseUntil = now + LapseGrace;
    for (auto &[id, record] : m_upstreams) {
        if (record.goneAt)
            record.goneAt = m_lapseUntil;
    }
}

void Catalog::expire(Instant now)
{
    if (m_storeLost)
        return;
    std::erase_if(m_upstreams,
                  [&](const auto &item) { return item.second.goneAt && *item.second.goneAt <= now; });
}

bool Catalog::isUsable(const UpstreamRecord &record) const
{
    return !record.entry.leaving && !isZoneOut(record.entry.zone);
}

std::vector<const UpstreamRecord *> Catalog::usable(std::string_view service) const
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

bool Catalog::mayUse(std::string_view id) const
{
    const UpstreamRecord *record = find(id);
    return record != nullptr && isUsable(*record);
}

} // namespace chestnutsill
