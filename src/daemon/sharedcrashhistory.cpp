#include "daemon/sharedcrashhistory.h"

#include "chestnutsill/observe/log.h"
#include "chestnutsill/policy/hash.h"
#include "daemon/identity.h"

#include <algorithm>

namespace chestnutsill {

SharedCrashHistory::SharedCrashHistory(LocalPools &localPools, BroadcastCrash broadcastCrash,
                                       BroadcastCleared broadcastCleared)
    : m_localPools(localPools)
    , m_broadcastCrash(std::move(broadcastCrash))
    , m_broadcastCleared(std::move(broadcastCleared))
{}

void SharedCrashHistory::recordLocalCrash(const CrashReport &crash)
{
    log(LogLevel::Warning, "upstream-crash-suspected",
        {{"upstream", crash.upstream}, {"running", static_cast<std::int64_t>(crash.fingerprints.size())}});
    recordPeerCrash(crash);
    m_broadcastCrash(crash);
}

void SharedCrashHistory::recordPeerCrash(const CrashReport &crash)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!crash.fingerprints.empty())
            m_history.recordCrash(crash.upstream, crash.incarnation, crash.fingerprints, now());
        m_parts.recordCrash(stableHash(crash.incarnation, stableHash(crash.upstream)), crash.parts, now(),
                            now());
    }
    if (!crash.fingerprints.empty())
        m_localPools.recordCrash(crash);
}

void SharedCrashHistory::recordLocalCompletion(std::uint64_t fingerprint)
{
    if (strikes(fingerprint) == 0)
        return;
    recordPeerCompletion(fingerprint);
    m_broadcastCleared(fingerprint);
}

void SharedCrashHistory::recordPeerCompletion(std::uint64_t fingerprint)
{
    {
        const std::lock_guard lock(m_mutex);
        m_history.clear(fingerprint);
        // The same message tells of completed requests and of prompt parts that were served.
        m_parts.clear(fingerprint, now());
    }
    m_localPools.recordCompletion(fingerprint);
}

void SharedCrashHistory::recordBrokenRun(const std::string &upstream, const std::string &incarnation,
                                         std::span<const std::uint64_t> parts)
{
    if (parts.empty())
        return;
    CrashReport crash{upstream, incarnation, {}, {}};
    {
        const std::lock_guard lock(m_mutex);
        m_partHistory.recordBroken(parts, now());
        crash.parts = m_partHistory.suspects(parts, CrashingParts::MaxPartsPerRequest);
    }
    recordPeerCrash(crash);
    m_broadcastCrash(crash);
}

void SharedCrashHistory::recordPartsServed(std::span<const std::uint64_t> parts)
{
    std::vector<std::uint64_t> cleared;
    {
        const std::lock_guard lock(m_mutex);
        m_partHistory.recordServed(parts, now());
        for (const std::uint64_t part : parts) {
            if (m_parts.clear(part, now()))
                cleared.push_back(part);
        }
    }
    for (const std::uint64_t part : cleared)
        m_broadcastCleared(part);
}

bool SharedCrashHistory::hasBannedPart(std::span<const std::uint64_t> parts)
{
    const std::lock_guard lock(m_mutex);
    const Instant time = now();
    return std::any_of(parts.begin(), parts.end(), [&](std::uint64_t part) {
        const auto until = m_parts.bannedUntil(part, time);
        return until && time < *until;
    });
}

int SharedCrashHistory::strikes(std::uint64_t fingerprint)
{
    const std::lock_guard lock(m_mutex);
    return m_history.strikes(fingerprint, now());
}

std::size_t SharedCrashHistory::size()
{
    const std::lock_guard lock(m_mutex);
    return m_history.size();
}

} // namespace chestnutsill
