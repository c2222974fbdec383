#include "chestnutsill/policy/crashingparts.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace chestnutsill {

bool CrashingParts::recordCrash(std::uint64_t crashId, std::span<const SuspectPart> parts, Instant at,
                                Instant now)
{
    forgetExpired(now);
    if (const auto alive = m_aliveAt.find(crashId); alive != m_aliveAt.end() && alive->second >= at)
        return false;
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
    const Instant crashedAt = at - crash->at > MaxReportSpread ? at : crash->at;
    bool hasNew = false;
    bool mayBan = false;
    for (const SuspectPart &suspect : parts) {
        const auto served = m_servedAt.find(suspect.part);
        if (served != m_servedAt.end() && served->second >= crashedAt)
            continue;
        const auto [known, isNew] =
            crash->parts.try_emplace(suspect.part, Suspect{suspect.following, suspect.isWhole, crashedAt});
        if (!isNew && crashedAt <= known->second.crashedAt)
            continue;
        hasNew = true;
        known->second.crashedAt = crashedAt;
        m_crashCounts[suspect.part] += isNew ? 1 : 0;
        mayBan = m_crashCounts[suspect.part] >= MaxStrikes || m_bans.contains(suspect.part) || mayBan;
    }
    m_bansOutdated = m_bansOutdated || mayBan;
    return hasNew;
}

void CrashingParts::countFailures(Suspicion &suspicion)
{
    std::sort(suspicion.crashes.begin(), suspicion.crashes.end());
    for (const Instant at : suspicion.crashes) {
        if (suspicion.strikes > 0 && !suspicion.isWhole && at - suspicion.lastFailureAt < SameFailure)
            continue;
        ++suspicion.strikes;
        suspicion.lastFailureAt = at;
    }
}

std::map<std::uint64_t, CrashingParts::Suspicion> CrashingParts::unexplainedSuspicions() const
{
    std::map<std::uint64_t, Suspicion> suspicions;
    for (const Crash &crash : m_crashes) {
        if (crash.explained)
            continue;
        for (const auto &[part, suspect] : crash.parts) {
            const auto [known, isNew] =
                suspicions.try_emplace(part, Suspicion{0, suspect.following, suspect.isWhole, {}, {}});
            Suspicion &suspicion = known->second;
            suspicion.following = std::min(suspicion.following, suspect.following);
            suspicion.crashes.push_back(suspect.crashedAt);
        }
    }
    for (auto &[part, suspicion] : suspicions)
        countFailures(suspicion);
    return suspicions;
}

bool CrashingParts::isLessSuspect(const Suspicion &a, const Suspicion &b) noexcept
{
    return std::tuple(a.strikes, a.isWhole, -a.following) < std::tuple(b.strikes, b.isWhole, -b.following);
}

void CrashingParts::explainBy(std::uint64_t part) const
{
    for (Crash &crash : m_crashes)
        crash.explained = crash.explained || crash.parts.contains(part);
}

void CrashingParts::updateBans() const
{
    if (!std::exchange(m_bansOutdated, false))
        return;
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
            const auto suspect = crash.parts.find(part);
            if (suspect != crash.parts.end()
                && suspect->second.crashedAt >= kept.lastFailureAt + SameFailure) {
                ++kept.strikes;
                kept.lastFailureAt = suspect->second.crashedAt;
            }
        }
        explainBy(part);
    }
    for (;;) {
        const auto suspicions = unexplainedSuspicions();
        const auto worst =
            std::max_element(suspicions.begin(), suspicions.end(),
                             [](const auto &a, const auto &b) { return isLessSuspect(a.second, b.second); });
        if (worst == suspicions.end() || worst->second.strikes < MaxStrikes)
            return;
        // Of parts that can't be told apart any may be the cause.
        for (const auto &[part, suspicion] : suspicions) {
            if (isLessSuspect(suspicion, worst->second))
                continue;
            Ban ban{suspicion.strikes, suspicion.lastFailureAt};
            if (const auto before = former.find(part); before != former.end()) {
                ban.strikes = std::max(ban.strikes, before->second.strikes);
                ban.lastFailureAt = std::max(ban.lastFailureAt, before->second.lastFailureAt);
            }
            m_bans[part] = ban;
            explainBy(part);
        }
    }
}

bool CrashingParts::clear(std::uint64_t part, Instant now)
{
    updateBans();
    const bool wasBanned = m_bans.erase(part) > 0;
    const bool wasSuspected = m_crashCounts.erase(part) > 0;
    if (!wasBanned && !wasSuspected)
        return false;
    m_servedAt[part] = now;
    for (Crash &crash : m_crashes)
        crash.parts.erase(part);
    m_bansOutdated = m_bansOutdated || wasBanned;
    return true;
}

bool CrashingParts::disprove(std::uint64_t crashId, Instant aliveAt, Instant now)
{
    forgetExpired(now);
    updateBans();
    Instant &knownAliveAt = m_aliveAt[crashId];
    if (aliveAt <= knownAliveAt)
        return false;
    knownAliveAt = aliveAt;
    const auto crash = std::find_if(m_crashes.begin(), m_crashes.end(),
                                    [&](const Crash &known) { return known.id == crashId; });
    if (crash == m_crashes.end())
        return false;
    std::vector<std::uint64_t> parts;
    for (const auto &[part, suspect] : crash->parts) {
        if (suspect.crashedAt <= aliveAt)
            parts.push_back(part);
    }
    for (const std::uint64_t part : parts) {
        crash->parts.erase(part);
        if (const auto count = m_crashCounts.find(part); --count->second <= 0)
            m_crashCounts.erase(count);
        // A ban that has lost its evidence is derived anew.
        m_bans.erase(part);
    }
    if (crash->parts.empty())
        m_crashes.erase(crash);
    m_bansOutdated = true;
    return true;
}

int CrashingParts::crashCount(std::uint64_t part) const
{
    const auto found = m_crashCounts.find(part);
    return found == m_crashCounts.end() ? 0 : found->second;
}

std::optional<Instant> CrashingParts::bannedUntil(std::uint64_t part, Instant now) const
{
    updateBans();
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
    updateBans();
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
    updateBans();
    const Instant lastFailureAt = now - ban.age;
    const auto served = m_servedAt.find(ban.part);
    if (ban.age >= Retention || (served != m_servedAt.end() && served->second >= lastFailureAt))
        return;
    const auto [known, isNew] = m_bans.try_emplace(ban.part, Ban{ban.strikes, lastFailureAt});
    if (isNew) {
        m_bansOutdated = true;
        return;
    }
    // The age grows by the delay of the message; taking it again would extend the ban each time.
    if (ban.strikes > known->second.strikes)
        known->second = {ban.strikes, lastFailureAt};
}

void CrashingParts::forgetCrash(const Crash &crash)
{
    for (const auto &[part, suspect] : crash.parts) {
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
    std::erase_if(m_aliveAt, [&](const auto &item) { return now - item.second > Instant(Retention); });
    std::erase_if(m_servedAt, [&](const auto &item) { return now - item.second > Instant(Retention); });
}

} // namespace chestnutsill
