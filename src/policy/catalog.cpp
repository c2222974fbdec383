#include "chestnutsill/policy/catalog.h"

#include "chestnutsill/policy/crashtracker.h"

#include <algorithm>
#include <utility>

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
    if (const auto found = m_zoneReturns.find(zone); found != m_zoneReturns.end())
        m_zoneReturns.erase(found);
    if (out)
        m_zonesOutOfService.emplace(zone);
    else if (const auto found = m_zonesOutOfService.find(zone); found != m_zonesOutOfService.end())
        m_zonesOutOfService.erase(found);
}

void Catalog::returnZoneOfRestoredStore(std::string_view zone, Instant now)
{
    m_zoneReturns.insert_or_assign(std::string(zone), std::max(m_removalsDelayedUntil, now));
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

void Catalog::updateUpstream(UpstreamEntry entry, StoreRevision revision, Instant now)
{
    m_era = std::max(m_era, revision.era);
    const auto [found, isNew] = m_upstreams.try_emplace(entry.id);
    UpstreamRecord &record = found->second;
    if (record.revision > revision)
        return;
    const bool restarted = record.entry.startUnixMs != 0 && record.entry.startUnixMs != entry.startUnixMs;
    const bool isFirstOfEra = !isNew && revision.era > record.revision.era;
    // The remaining time of the cold start counts from the write. An entry that is read again, as the same
    // revision or from the copy of a restored store, must not restart it.
    const bool isReadAgain =
        record.revision == revision
        || (isFirstOfEra && !restarted && entry.coldRemaining <= record.entry.coldRemaining);
    if (!isReadAgain)
        record.coldUntil = std::max(record.coldUntil, now + entry.coldRemaining);
    if (restarted)
        record.coldUntil = std::max<Instant>(record.coldUntil, now + coldStartOf(entry.service));
    if (isFirstOfEra && !restarted && record.entry.leaving)
        entry.leaving = true;
    const bool isOtherProcess = restarted || record.entry.softwareVersion != entry.softwareVersion;
    if (isFirstOfEra && isOtherProcess)
        record.doubtedSince = now;
    else if (isOtherProcess)
        record.doubtedSince.reset();
    if (isOtherProcess)
        record.endReportedAt.reset();
    record.withheldUntil.reset();
    if (const auto removed = m_removedUpstreams.find(entry.id); removed != m_removedUpstreams.end()) {
        if (revision.era > removed->second.era && entry.startUnixMs == removed->second.startUnixMs)
            record.withheldUntil = now + ReturnDelay;
        record.leavingStartUnixMs = removed->second.leavingStartUnixMs;
        m_removedUpstreams.erase(removed);
    }
    record.entry = std::move(entry);
    record.incarnationKey = incarnationKeyOf(record.entry.id, std::to_string(record.entry.startUnixMs));
    record.revision = revision;
    record.removeAt.reset();
}

void Catalog::removeUpstream(std::string_view id, StoreRevision revision, Instant now)
{
    m_era = std::max(m_era, revision.era);
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end() || found->second.revision > revision)
        return;
    // During a store outage leases expire although their holders live, so the removal is delayed.
    const bool isDelayed = m_storeLost || now < m_removalsDelayedUntil;
    if (isDelayed && !found->second.withheldUntil) {
        if (!found->second.removeAt)
            found->second.removeAt = std::max<Instant>(m_removalsDelayedUntil, now);
        return;
    }
    erase(id, now);
}

void Catalog::erase(std::string_view id, Instant now)
{
    std::erase_if(m_removedUpstreams, [&](const auto &item) { return now - item.second.at > RemovalMemory; });
    const auto found = m_upstreams.find(id);
    m_removedUpstreams.insert_or_assign(
        found->first,
        RemovedUpstream{found->second.entry.startUnixMs, found->second.leavingStartUnixMs, m_era, now});
    m_upstreams.erase(found);
}

void Catalog::suspectRestart(std::string_view id, Instant now)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return;
    UpstreamRecord &record = found->second;
    record.coldUntil = std::max<Instant>(record.coldUntil, now + coldStartOf(record.entry.service));
    record.doubtedSince = now;
}

bool Catalog::recordLeaving(std::string_view id, std::int64_t startUnixMs)
{
    const auto found = m_upstreams.find(id);
    const auto removed = m_removedUpstreams.find(id);
    if (found == m_upstreams.end() && removed == m_removedUpstreams.end())
        return false;
    auto &leaving =
        found != m_upstreams.end() ? found->second.leavingStartUnixMs : removed->second.leavingStartUnixMs;
    return std::exchange(leaving, startUnixMs) != startUnixMs;
}

void Catalog::recordPeerCrash(std::uint64_t incarnationKey, Instant at)
{
    for (auto &[id, record] : m_upstreams) {
        if (record.incarnationKey == incarnationKey)
            record.endReportedAt = std::max(record.endReportedAt.value_or(at), at);
    }
}

void Catalog::recordAlive(std::uint64_t incarnationKey, Instant at)
{
    for (auto &[id, record] : m_upstreams) {
        if (record.incarnationKey == incarnationKey && record.endReportedAt && *record.endReportedAt <= at)
            record.endReportedAt.reset();
    }
}

bool Catalog::describesProcess(const UpstreamRecord &record, Instant now) const
{
    const auto isSettled = [&](const std::optional<Instant> &since) {
        return !since || (!m_storeLost && now - *since >= DoubtTime);
    };
    return isSettled(record.doubtedSince) && isSettled(record.endReportedAt);
}

bool Catalog::describesProcess(const UpstreamRecord &record, Instant connectedAt, Instant now) const
{
    const bool mayLackEntries = m_storeLost || now < m_removalsDelayedUntil;
    return describesProcess(record, now) && !(mayLackEntries && connectedAt > m_storeLostSince)
           && connectedAt <= m_confirmedAt + MaxConfirmationGap;
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
    for (auto &[id, record] : m_upstreams) {
        if (record.removeAt)
            record.removeAt = now;
    }
    removeExpired(now);
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
    for (auto &[zone, returnAt] : m_zoneReturns)
        returnAt = m_removalsDelayedUntil;
}

void Catalog::removeExpired(Instant now)
{
    if (m_storeLost)
        return;
    std::vector<std::string> expired;
    for (auto &[id, record] : m_upstreams) {
        if (record.withheldUntil && *record.withheldUntil <= now)
            record.withheldUntil.reset();
        if (record.removeAt && *record.removeAt <= now)
            expired.push_back(id);
    }
    for (const std::string &id : expired)
        erase(id, now);
    std::vector<std::string> zones;
    for (const auto &[zone, returnAt] : m_zoneReturns) {
        if (returnAt <= now)
            zones.push_back(zone);
    }
    for (const std::string &zone : zones)
        setZoneOutOfService(zone, false);
}

bool isLeaving(const UpstreamRecord &record) noexcept
{
    return record.entry.leaving || record.leavingStartUnixMs == record.entry.startUnixMs;
}

bool Catalog::isUsable(const UpstreamRecord &record) const
{
    return !isLeaving(record) && !record.withheldUntil && !isZoneOutOfService(record.entry.zone);
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
