#include "chestnutsill/policy/crashtracker.h"

#include "chestnutsill/policy/hash.h"

#include <algorithm>

namespace chestnutsill {

void CrashTracker::recordStart(std::string_view upstream, std::uint64_t fingerprint)
{
    m_upstreams[std::string(upstream)].running.push_back(fingerprint);
}

void CrashTracker::recordEnd(std::string_view upstream, std::uint64_t fingerprint, bool connectionBroke,
                             Instant now)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end())
        return;
    auto &[running, broken] = found->second;
    if (const auto at = std::find(running.begin(), running.end(), fingerprint); at != running.end())
        running.erase(at);
    std::erase_if(broken, [&](const BrokenAttempt &entry) { return now - entry.at > AttributionWindow; });
    if (connectionBroke)
        broken.push_back({fingerprint, now});
    if (running.empty() && broken.empty())
        m_upstreams.erase(found);
}

std::size_t CrashTracker::recordCrash(std::string_view upstream, std::string_view incarnation, Instant now)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end())
        return 0;
    CrashNotice notice;
    notice.incarnation = stableHash(incarnation, stableHash(upstream));
    notice.fingerprints = found->second.running;
    for (const BrokenAttempt &entry : found->second.broken) {
        if (now - entry.at <= AttributionWindow)
            notice.fingerprints.push_back(entry.fingerprint);
    }
    found->second.broken.clear();
    if (notice.fingerprints.empty())
        return 0;
    addToHistory(notice, now);
    const std::size_t count = notice.fingerprints.size();
    m_notices.add(std::move(notice));
    return count;
}

bool CrashTracker::recordCompletion(std::uint64_t fingerprint)
{
    if (!m_history.lastCrash(fingerprint))
        return false;
    m_history.clear(fingerprint);
    m_cleared.add(fingerprint);
    return true;
}

void CrashTracker::addToHistory(const CrashNotice &notice, Instant now)
{
    m_history.recordCrash({}, std::to_string(notice.incarnation), notice.fingerprints, now);
    // After clearing, notices of known crashes may be relayed once more, which costs a few datagrams.
    if (m_knownCrashes.size() >= CrashHistory::MaxCrashes)
        m_knownCrashes.clear();
    m_knownCrashes.insert(notice.incarnation);
}

void CrashTracker::mergeNotice(const CrashNotice &notice, Instant now, bool relay)
{
    if (relay && !m_knownCrashes.contains(notice.incarnation))
        m_notices.add(notice);
    addToHistory(notice, now);
}

void CrashTracker::mergeCleared(std::uint64_t fingerprint, bool relay)
{
    if (relay && m_history.lastCrash(fingerprint))
        m_cleared.add(fingerprint);
    m_history.clear(fingerprint);
}

} // namespace chestnutsill
