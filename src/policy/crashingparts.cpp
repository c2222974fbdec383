#include "chestnutsill/policy/crashingparts.h"

#include <algorithm>
#include <utility>

namespace chestnutsill {

void CrashingParts::recordCrash(std::uint64_t crashId, std::span<const SuspectPart> parts, Instant at,
                                Instant now)
{
    forgetExpired(now);
    auto crash = std::find_if(m_crashes.begin(), m_crashes.end(),
                              [&](const Crash &known) { return known.id == crashId; });
    if (crash == m_crashes.end()) {
        if (m_crashes.size() >= MaxCrashes) {
            forgetCrash(m_crashes.front());
            m_crashes.pop_front();
        }
        const auto later = std::find_if(m_crashes.begin(), m_crashes.end(),
                                        [&](const Crash &known) { return known.at > at; });
        crash = m_crashes.insert(later, {crashId, at, {}, false});
    }
    bool mayBan = false;
    for (const SuspectPart &suspect : parts) {
        const auto served = m_servedAt.find(suspect.part);
        if ((served != m_servedAt.end() && served->second >= crash->at)
            || !crash->parts.emplace(suspect.part, suspect.following).second)
            continue;
        mayBan = ++m_crashCounts[suspect.part] >= MaxStrikes || m_bans.contains(suspect.part) || mayBan;
    }
    if (mayBan)
        updateBans();
}

std::map<std::uint64_t, CrashingParts::Suspicion> CrashingParts::unexplainedSuspicions() const
{
    std::map<std::uint64_t, Suspicion> suspicions;
    for (const Crash &crash : m_crashes) {
        if (crash.explained)
            continue;
        for (const auto &[part, following] : crash.parts) {
            Suspicion &suspicion = suspicions.try_emplace(part, Suspicion{0, following, {}}).first->second;
            suspicion.following = std::min(suspicion.following, following);
            if (suspicion.strikes == 0 || crash.at - suspicion.lastFailureAt >= SameFailure) {
                ++suspicion.strikes;
                suspicion.lastFailureAt = crash.at;
            }
        }
    }
    return suspicions;
}

void CrashingParts::explainBy(std::uint64_t part)
{
    for (Crash &crash : m_crashes)
        crash.explained = crash.explained || crash.parts.contains(part);
}

void CrashingParts::updateBans()
{
    // Bans with local evidence are derived anew, because a later report may show that another part explains
    // the same failures.
    const auto former = std::exchange(m_bans, {});
    for (Crash &crash : m_crashes)
        crash.explained = false;
    for (const auto &[part, ban] : former) {
        const auto count = m_crashCounts.find(part);
        if (count != m_crashCounts.end() && count->second >= MaxStrikes)
            continue;
        Ban &kept = m_bans[part] = ban;
        for (const Crash &crash : m_crashes) {
            if (crash.parts.contains(part) && crash.at >= kept.lastFailureAt + SameFailure) {
                ++kept.strikes;
                kept.lastFailureAt = crash.at;
            }
        }
        explainBy(part);
    }
    for (;;) {
        const auto suspicions = unexplainedSuspicions();
        const auto worst =
            std::max_element(suspicions.begin(), suspicions.end(), [](const auto &a, const auto &b) {
                return std::pair(a.second.strikes, -a.second.following)
                       < std::pair(b.second.strikes, -b.second.following);
            });
        if (worst == suspicions.end() || worst->second.strikes < MaxStrikes)
            return;
        Ban ban{worst->second.strikes, worst->second.lastFailureAt};
        if (const auto before = former.find(worst->first); before != former.end()) {
            ban.strikes = std::max(ban.strikes, before->second.strikes);
            ban.lastFailureAt = std::max(ban.lastFailureAt, before->second.lastFailureAt);
        }
        m_bans[worst->first] = ban;
        explainBy(worst->first);
    }
}

bool CrashingParts::clear(std::uint64_t part, Instant now)
{
    const bool wasBanned = m_bans.erase(part) > 0;
    const bool wasSuspected = m_crashCounts.erase(part) > 0;
    if (!wasBanned && !wasSuspected)
        return false;
    m_servedAt[part] = now;
    for (Crash &crash : m_crashes)
        crash.parts.erase(part);
    if (wasBanned)
        updateBans();
    return true;
}

std::optional<Instant> CrashingParts::bannedUntil(std::uint64_t part, Instant now) const
{
    const auto found = m_bans.find(part);
    if (found == m_bans.end())
        return std::nullopt;
    constexpr int MaxDoublings = 5;
    const int doublings = std::clamp(found->second.strikes - MaxStrikes, 0, MaxDoublings);
    const Instant duration = std::min<Instant>(FirstBan * (1 << doublings), Retention);
    if (now - found->second.lastFailureAt > Instant(Retention))
        return std::nullopt;
    return found->second.lastFailureAt + duration;
}

std::vector<PartBan> CrashingParts::bans(Instant now) const
{
    std::vector<PartBan> bans;
    for (const auto &[part, ban] : m_bans) {
        const Instant age = now - ban.lastFailureAt;
        if (age <= Instant(Retention))
            bans.push_back({part, ban.strikes, std::chrono::duration_cast<milliseconds>(age)});
    }
    return bans;
}

void CrashingParts::mergeBan(const PartBan &ban, Instant now)
{
    const Instant lastFailureAt = now - ban.age;
    const auto served = m_servedAt.find(ban.part);
    if (ban.age >= Retention || (served != m_servedAt.end() && served->second >= lastFailureAt))
        return;
    const auto [known, isNew] = m_bans.try_emplace(ban.part, Ban{ban.strikes, lastFailureAt});
    if (isNew) {
        updateBans();
        return;
    }
    // The age grows by the delay of the message; taking it again would extend the ban each time.
    if (ban.strikes > known->second.strikes)
        known->second = {ban.strikes, lastFailureAt};
}

void CrashingParts::forgetCrash(const Crash &crash)
{
    for (const auto &[part, following] : crash.parts) {
        const auto count = m_crashCounts.find(part);
        if (count != m_crashCounts.end() && --count->second <= 0)
            m_crashCounts.erase(count);
    }
}

void CrashingParts::forgetExpired(Instant now)
{
    while (!m_crashes.empty() && now - m_crashes.front().at > Instant(Retention)) {
        forgetCrash(m_crashes.front());
        m_crashes.pop_front();
    }
    std::erase_if(m_bans,
                  [&](const auto &item) { return now - item.second.lastFailureAt > Instant(Retention); });
    std::erase_if(m_servedAt, [&](const auto &item) { return now - item.second > Instant(Retention); });
}

} // namespace chestnutsill
