#include "chestnutsill/policy/coldstartlimiter.h"

#include "chestnutsill/policy/hash.h"

#include <algorithm>

namespace chestnutsill {

bool ColdStartLimiter::isSender(std::string_view upstream, std::string_view ownName,
                                std::span<const std::string> instances)
{
    const std::uint64_t seed = stableHash(upstream);
    const std::uint64_t own = stableHash(ownName, seed);
    const auto ahead = std::count_if(instances.begin(), instances.end(), [&](const std::string &name) {
        return name != ownName && stableHash(name, seed) > own;
    });
    return ahead < static_cast<std::ptrdiff_t>(SenderCount);
}

Instant ColdStartLimiter::intervalOf(double perSecond) noexcept
{
    // In any second a sender sends at most one request more than its rate of
    // UsedFraction * perSecond / SenderCount. Even the 2 * SenderCount senders of two disjoint views thus
    // send at most 1.5 * perSecond + 4 requests in a second. A cold upstream is overloaded and crashes at
    // 1.5 * perSecond + 5.
    constexpr double MicrosecondsPerSecond = 1e6;
    return Instant(
        static_cast<Instant::rep>(MicrosecondsPerSecond * SenderCount / (UsedFraction * perSecond)));
}

std::optional<Instant> ColdStartLimiter::sendAt(std::string_view upstream, double perSecond,
                                                std::string_view ownName,
                                                std::span<const std::string> instances,
                                                const ColdStartRequest &request, Instant now) const
{
    if (perSecond <= 0)
        return std::nullopt;
    const auto found = m_schedules.find(upstream);
    const Schedule schedule = found == m_schedules.end() ? Schedule{now, now} : found->second;
    const Instant at = std::max(now, schedule.nextAt);
    Instant maxWait{};
    if (request.maxWait > milliseconds(0) && request.isMostUrgent)
        maxWait = request.maxWait;
    else if (request.maxWait > milliseconds(0) && now >= schedule.floorAt)
        // One turn more, because the most urgent requests may have taken all until then.
        maxWait = request.maxWait + intervalOf(perSecond);
    if (at > now + maxWait || !isSender(upstream, ownName, instances))
        return std::nullopt;
    return at;
}

void ColdStartLimiter::recordSend(std::string_view upstream, double perSecond,
                                  const ColdStartRequest &request, Instant at, Instant now)
{
    /// The floor of less urgent requests is this part of the rate.
    constexpr int FloorDivisor = 4;
    const Instant interval = intervalOf(perSecond);
    Schedule &schedule = m_schedules[std::string(upstream)];
    schedule.nextAt = at + interval;
    if (!request.isMostUrgent)
        schedule.floorAt = now + FloorDivisor * interval;
}

} // namespace chestnutsill
