#include "chestnutsill/policy/crashtracker.h"

#include "chestnutsill/policy/hash.h"

#include <algorithm>

namespace chestnutsill {

void CrashTracker::begin(std::string_view upstream, std::uint64_t fingerprint)
{
    m_upstreams[std::string(upstream)].running.push_back(fingerprint);
}

void CrashTracker::end(std::string_view upstream, std::uint64_t fingerprint, bool broke, Instant now)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end())
        return;
    auto &[running, broken] = found->second;
    if (const auto at = std::find(running.begin(), running.end(), fingerprint); at != running.end())
        running.erase(at);
    std::erase_if(broken, [&](const Broken &entry) { return now - entry.at > ProofTime; });
    if (broke)
        broken.push_back({fingerprint, now});
    if (running.empty() && broken.empty())
        m_upstreams.erase(found);
}

std::size_t CrashTracker::crashed(std::string_view upstream, std::string_view incarnation, Instant now)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end())
        return 0;
    CrashNotice news;
    news.incarnation = stableHash(incarnation, stableHash(upstream));
    news.fingerprints = found->second.running;
    for (const Broken &entry : found->second.broken) {
        if (now - entry.at <= ProofTime)
            news.fingerprints.push_back(entry.fingerprint);
    }
    found->second.broken.clear();
    if (news.fingerprints.empty())
        return 0;
    record(news, now);
    const std::size_t count = news.fingerprints.size();
    m_news.add(std::move(news));
    return count;
}

bool CrashTracker::completed(std::uint64_t fingerprint)
{
    if (!m_suspects.lastCrash(fingerprint))
        return false;
    m_suspects.clear(fingerprint);
    m_cleared.add(fingerprint);
    return true;
}

void CrashTracker::record(const CrashNotice &news, Instant now)
{
    m_suspects.recordCrash({}, std::to_string(news.incarnation), news.fingerprints, now);
    // Forgetting which crashes were told on costs a few datagrams.
    if (m_seen.size() >= CrashHistory::MaxCrashes)
        m_seen.clear();
    m_seen.insert(news.incarnation);
}

void CrashTracker::hear(const CrashNotice &news, Instant now, bool tellOn)
{
    if (tellOn && !m_seen.contains(news.incarnation))
        m_news.add(news);
    record(news, now);
}

void CrashTracker::hearCleared(std::uint64_t fingerprint, bool tellOn)
{
    if (tellOn && m_suspects.lastCrash(fingerprint))
        m_cleared.add(fingerprint);
    m_suspects.clear(fingerprint);
}

} // namespace chestnutsill
