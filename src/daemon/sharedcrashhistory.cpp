#include "daemon/sharedcrashhistory.h"

#include "chestnutsill/observe/log.h"
#include "daemon/identity.h"

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
        m_history.recordCrash(crash.upstream, crash.incarnation, crash.fingerprints, now());
    }
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
    }
    m_localPools.recordCompletion(fingerprint);
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
