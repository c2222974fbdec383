#include "chestnutsill/policy/crashhistory.h"

#include "chestnutsill/policy/hash.h"

#include <algorithm>

namespace chestnutsill {

std::uint64_t fingerprintOf(std::string_view account, std::string_view body) noexcept
{
    return stableHash(body, stableHash(account));
}

void CrashHistory::recordCrash(std::string_view upstream, std::string_view incarnation,
                               std::span<const std::uint64_t> fingerprints, Instant now)
{
    forgetExpired(now);
    const std::string id = std::string(upstream) + '/' + std::string(incarnation);
    auto crash = std::find_if(m_crashes.begin(), m_crashes.end(), [&](const Crash &c) { return c.id == id; });
    if (crash == m_crashes.end()) {
        if (m_crashes.size() >= MaxCrashes)
            forgetOldest();
        m_crashes.push_back({id, now, {}});
        crash = std::prev(m_crashes.end());
    }
    for (const std::uint64_t fingerprint : fingerprints) {
        if (!crash->fingerprints.insert(fingerprint).second)
            continue;
        Record &record = m_records[fingerprint];
        ++record.strikes;
        record.lastCrashAt = now;
    }
}

void CrashHistory::clear(std::uint64_t fingerprint)
{
    if (m_records.erase(fingerprint) == 0)
        return;
    for (Crash &crash : m_crashes)
        crash.fingerprints.erase(fingerprint);
}

int CrashHistory::strikes(std::uint64_t fingerprint, Instant now)
{
    forgetExpired(now);
    const auto found = m_records.find(fingerprint);
    return found == m_records.end() ? 0 : found->second.strikes;
}

std::optional<Instant> CrashHistory::lastCrash(std::uint64_t fingerprint) const
{
    const auto found = m_records.find(fingerprint);
    return found == m_records.end() ? std::nullopt : std::optional(found->second.lastCrashAt);
}

void CrashHistory::forgetOldest()
{
    for (const std::uint64_t fingerprint : m_crashes.front().fingerprints) {
        const auto found = m_records.find(fingerprint);
        if (found != m_records.end() && --found->second.strikes <= 0)
            m_records.erase(found);
    }
    m_crashes.pop_front();
}

void CrashHistory::forgetExpired(Instant now)
{
    while (!m_crashes.empty() && now - m_crashes.front().at > Retention)
        forgetOldest();
}

} // namespace chestnutsill
