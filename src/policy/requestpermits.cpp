#include "chestnutsill/policy/requestpermits.h"

#include <algorithm>

namespace chestnutsill {

Permit PermitIssuer::issue(const PermitRequest &request, bool isSettled, Instant now)
{
    constexpr double UnsettledFraction = 0.5;
    /// Permits that may be issued at once after a pause.
    constexpr int SettledBurst = 3;
    constexpr int UnsettledBurst = 1;
    /// Rank from which requests leave one whole permit to more urgent ones.
    constexpr int LowestRank = 4;
    /// The floor of less urgent requests is this part of the rate.
    constexpr int FloorDivisor = 4;
    constexpr double MicrosecondsPerSecond = 1e6;
    /// Higher rates are not distinguished, so that the interval doesn't become 0.
    constexpr double MaxPerSecond = 1e5;
    const double rate =
        std::clamp(request.perSecond * (isSettled ? 1.0 : UnsettledFraction), MinPerSecond, MaxPerSecond);
    const Instant interval(static_cast<Instant::rep>(MicrosecondsPerSecond / rate));
    const Instant tolerance = interval * ((isSettled ? SettledBurst : UnsettledBurst) - 1);

    Schedule &schedule = m_schedules.try_emplace(request.upstream, Schedule{now, now}).first->second;
    const bool usesFloor = request.rank > 0 && now >= schedule.floorAt;
    const int reservedSteps = usesFloor ? 0 : std::clamp(request.rank, 0, LowestRank);
    const Instant earliest = schedule.nextAt - tolerance;
    const Instant issuedAt =
        std::max(now, earliest + std::min(tolerance, interval) * reservedSteps / LowestRank);
    // A permit that is due later is one that a more urgent request can't get.
    const milliseconds maxDelay = reservedSteps > 0 ? milliseconds(0) : request.maxDelay;
    if (std::chrono::ceil<milliseconds>(issuedAt - now) > maxDelay)
        return {false, std::chrono::ceil<milliseconds>(std::max(earliest - now, Instant{}))};
    schedule.nextAt = std::max(issuedAt, schedule.nextAt) + interval;
    if (request.rank > 0)
        schedule.floorAt = std::max(now, schedule.floorAt) + FloorDivisor * interval;
    return {true, std::chrono::ceil<milliseconds>(issuedAt - now)};
}

void PermitIssuer::expire(Instant now)
{
    std::erase_if(m_schedules,
                  [&](const auto &item) { return item.second.nextAt < now && item.second.floorAt < now; });
}

} // namespace chestnutsill
