#include "chestnutsill/policy/crashtracker.h"

#include "chestnutsill/policy/hash.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

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
        if (connectionBroke) {
            m_partHistory.recordBroken(ended->parts, now);
            broken.push_back({ended->fingerprint,
                              m_partHistory.suspects(ended->parts, CrashingParts::MaxPartsPerRequest), now});
        }
        running.erase(ended);
    }
    if (running.empty() && broken.empty())
        m_upstreams.erase(found);
}

CrashNotice CrashTracker::noticeOf(std::span<const BrokenAttempt> attempts, bool withParts)
{
    CrashNotice notice;
    const auto count = std::min(attempts.size(), MaxPartsPerNotice);
    for (const BrokenAttempt &attempt : attempts.first(count))
        notice.fingerprints.push_back(attempt.fingerprint);
    std::unordered_set<std::uint64_t> added;
    for (std::size_t rank = 0; withParts && rank < CrashingParts::MaxPartsPerRequest; ++rank) {
        for (const BrokenAttempt &attempt : attempts) {
            if (notice.parts.size() == MaxPartsPerNotice)
                return notice;
            if (rank < attempt.parts.size() && added.insert(attempt.parts[rank].part).second)
                notice.parts.push_back(attempt.parts[rank]);
        }
    }
    return notice;
}

std::size_t CrashTracker::recordCrash(std::string_view upstream, std::string_view incarnation, Instant now,
                                      bool attributeToParts)
{
    std::erase_if(m_recentCrashes, [&](const auto &item) { return now - item.second > MassFailureTime; });
    m_recentCrashes.try_emplace(std::string(upstream), now);
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end())
        return 0;
    if (m_recentCrashes.size() > MaxCrashesAtOnce) {
        found->second.broken.clear();
        return 0;
    }
    std::vector<BrokenAttempt> attempts = std::exchange(found->second.broken, {});
    std::erase_if(attempts,
                  [&](const BrokenAttempt &attempt) { return now - attempt.at > AttributionWindow; });
    if (attempts.empty())
        return 0;
    CrashNotice notice = noticeOf(attempts, attributeToParts);
    notice.at = now;
    notice.incarnation = incarnationKeyOf(upstream, incarnation);
    addToParts(notice, now);
    const std::size_t count = notice.fingerprints.size();
    m_notices.add(std::move(notice));
    return count;
}

bool CrashTracker::recordCompletion(std::uint64_t fingerprint, Instant now)
{
    if (!m_parts.clear(fingerprint, now))
        return false;
    m_cleared.add(fingerprint);
    return true;
}

void CrashTracker::recordPartsServed(std::span<const std::uint64_t> parts, Instant now)
{
    m_partHistory.recordServed(parts, now);
    for (const std::uint64_t part : parts) {
        if (m_parts.clear(part, now))
            m_servedParts.add(part);
    }
}

void CrashTracker::mergeServedPart(std::uint64_t part, Instant now, bool relay)
{
    m_partHistory.recordServed({&part, 1}, now);
    if (m_parts.clear(part, now) && relay)
        m_servedParts.add(part);
}

std::optional<Instant> CrashTracker::refusedUntil(std::span<const std::uint64_t> parts,
                                                  std::uint64_t fingerprint,
                                                  const std::function<bool(std::uint64_t)> &mayTry,
                                                  Instant now) const
{
    const auto refused = [&](std::uint64_t part) -> std::optional<Instant> {
        const auto until = m_parts.bannedUntil(part, now);
        const bool isTrial = until && now >= *until && mayTry(part) && !isInProgress(part);
        return isTrial ? std::nullopt : until;
    };
    for (const std::uint64_t part : parts) {
        if (const auto until = refused(part))
            return until;
    }
    return refused(fingerprint);
}

bool CrashTracker::isInProgress(std::uint64_t part) const
{
    return std::any_of(m_upstreams.begin(), m_upstreams.end(), [&](const auto &item) {
        const auto &running = item.second.running;
        return std::any_of(running.begin(), running.end(), [&](const RunningRequest &request) {
            return request.fingerprint == part
                   || std::find(request.parts.begin(), request.parts.end(), part) != request.parts.end();
        });
    });
}

bool CrashTracker::addToParts(const CrashNotice &notice, Instant now)
{
    std::vector<SuspectPart> suspects = notice.parts;
    for (const std::uint64_t fingerprint : notice.fingerprints)
        suspects.push_back({fingerprint, 0, true});
    std::erase_if(m_reportedCrashes,
                  [&](const auto &item) { return now - item.second > Instant(CrashingParts::Retention); });
    const bool isNew = m_parts.recordCrash(notice.incarnation, suspects, notice.at, now);
    if (isNew) {
        Instant &reportedAt = m_reportedCrashes[notice.incarnation];
        reportedAt = std::max(reportedAt, notice.at);
    }
    return isNew;
}

bool CrashTracker::recordAnswer(std::uint64_t incarnation, Instant connectedAt, Instant sentAt, Instant now)
{
    const auto crash = m_reportedCrashes.find(incarnation);
    // A report may be that much later than the crash, after which another process may have been started.
    if (crash == m_reportedCrashes.end() || sentAt < crash->second + MinProofDelay
        || connectedAt + AttributionWindow >= crash->second)
        return false;
    m_reportedCrashes.erase(crash);
    m_parts.disprove(incarnation, sentAt, now);
    m_disproofs.add({incarnation, sentAt});
    return true;
}

bool CrashTracker::mergeNotice(const CrashNotice &notice, Instant now, bool relay)
{
    const bool isNew = addToParts(notice, now);
    if (isNew && relay)
        m_notices.add(notice);
    return isNew;
}

void CrashTracker::mergeDisproof(const CrashDisproof &disproof, Instant now, bool relay)
{
    if (const auto crash = m_reportedCrashes.find(disproof.incarnation);
        crash != m_reportedCrashes.end() && crash->second <= disproof.aliveAt)
        m_reportedCrashes.erase(crash);
    if (m_parts.disprove(disproof.incarnation, disproof.aliveAt, now) && relay)
        m_disproofs.add(disproof);
}

void CrashTracker::mergeCleared(std::uint64_t fingerprint, Instant now, bool relay)
{
    if (m_parts.clear(fingerprint, now) && relay)
        m_cleared.add(fingerprint);
}

} // namespace chestnutsill
