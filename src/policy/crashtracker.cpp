#include "chestnutsill/policy/crashtracker.h"

#include "chestnutsill/policy/hash.h"

#include <algorithm>

namespace chestnutsill {

std::uint64_t incarnationKeyOf(std::string_view upstream, std::string_view incarnation) noexcept
{
    return stableHash(incarnation, stableHash(upstream));
}

void CrashTracker::recordStart(std::string_view upstream, std::uint64_t fingerprint,
                               std::span<const std::uint64_t> parts)
{
    m_upstreams[std::string(upstream)].running.push_back({fingerprint, {parts.begin(), parts.end()}});
}

void CrashTracker::recordEnd(std::string_view upstream, std::uint64_t fingerprint, bool connectionBroke,
                             Instant now)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end())
        return;
    auto &[running, broken] = found->second;
    std::erase_if(broken, [&](const BrokenAttempt &entry) { return now - entry.at > AttributionWindow; });
    const auto ended = std::find_if(running.begin(), running.end(), [&](const RunningRequest &request) {
        return request.fingerprint == fingerprint;
    });
    if (ended != running.end()) {
        if (connectionBroke)
            broken.push_back({std::move(*ended), now});
        running.erase(ended);
    }
    if (running.empty() && broken.empty())
        m_upstreams.erase(found);
}

void CrashTracker::addTo(CrashNotice &notice, const RunningRequest &request)
{
    notice.fingerprints.push_back(request.fingerprint);
    for (std::size_t i = 0; i < request.parts.size() && notice.parts.size() < MaxPartsPerNotice; ++i)
        notice.parts.push_back({request.parts[i], static_cast<std::uint8_t>(request.parts.size() - 1 - i)});
}

std::size_t CrashTracker::recordCrash(std::string_view upstream, std::string_view incarnation, Instant now,
                                      bool attributeToParts)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end())
        return 0;
    CrashNotice notice;
    notice.at = now;
    notice.incarnation = incarnationKeyOf(upstream, incarnation);
    for (const RunningRequest &request : found->second.running)
        addTo(notice, request);
    for (const BrokenAttempt &entry : found->second.broken) {
        if (now - entry.at <= AttributionWindow)
            addTo(notice, entry.request);
    }
    found->second.broken.clear();
    if (notice.fingerprints.empty())
        return 0;
    if (!attributeToParts)
        notice.parts.clear();
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

void CrashTracker::recordPartsServed(std::span<const std::uint64_t> parts, Instant now)
{
    for (const std::uint64_t part : parts) {
        if (m_parts.clear(part, now))
            m_servedParts.add(part);
    }
}

void CrashTracker::mergeServedPart(std::uint64_t part, Instant now, bool relay)
{
    if (m_parts.clear(part, now) && relay)
        m_servedParts.add(part);
}

bool CrashTracker::isInProgress(std::uint64_t part) const
{
    return std::any_of(m_upstreams.begin(), m_upstreams.end(), [&](const auto &item) {
        const auto &running = item.second.running;
        return std::any_of(running.begin(), running.end(), [&](const RunningRequest &request) {
            return std::find(request.parts.begin(), request.parts.end(), part) != request.parts.end();
        });
    });
}

void CrashTracker::addToHistory(const CrashNotice &notice, Instant now)
{
    m_history.recordCrash({}, std::to_string(notice.incarnation), notice.fingerprints, now);
    m_parts.recordCrash(notice.incarnation, notice.parts, notice.at, now);
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
