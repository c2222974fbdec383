#include "chestnutsill/policy/requestpermits.h"

#include <algorithm>

namespace chestnutsill {

Permit PermitIssuer::issue(const PermitRequest &request, bool isSettled, Instant now)
{
    constexpr double UnsettledFraction = 0.5;
    /// Permits that may be issued at once after a pause.
    constexpr int SettledBurst = 3;
    constexpr int UnsettledBurst = 1;
    constexpr double MicrosecondsPerSecond = 1e6;
    /// Higher rates are not distinguished, so that the interval doesn't become 0.
    constexpr double MaxPerSecond = 1e5;
    const double rate =
        std::clamp(request.perSecond * (isSettled ? 1.0 : UnsettledFraction), MinPerSecond, MaxPerSecond);
    const Instant interval(static_cast<Instant::rep>(MicrosecondsPerSecond / rate));
    const Instant tolerance = interval * ((isSettled ? SettledBurst : UnsettledBurst) - 1);

    Instant &nextDueAt = m_nextDueAt.try_emplace(request.upstream, now).first->second;
    const Instant issuedAt = std::max(now, nextDueAt - tolerance);
    const auto delay = std::chrono::ceil<milliseconds>(issuedAt - now);
    if (delay > request.maxDelay)
        return {false, delay};
    nextDueAt = std::max(issuedAt, nextDueAt) + interval;
    return {true, delay};
}

void PermitIssuer::expire(Instant now)
{
    std::erase_if(m_nextDueAt, [&](const auto &item) { return item.second < now; });
}

} // namespace chestnutsill
