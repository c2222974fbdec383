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

bool ColdStartLimiter::maySend(std::string_view upstream, double perSecond, std::string_view ownName,
                               std::span<const std::string> instances, Instant now) const
{
    if (perSecond <= 0)
        return false;
    // In any second a sender sends at most one request more than its rate of
    // UsedFraction * perSecond / SenderCount. Even the 2 * SenderCount senders of two disjoint views thus
    // send at most 1.5 * perSecond + 4 requests in a second. A cold upstream is overloaded and crashes at
    // 1.5 * perSecond + 5.
    constexpr double MicrosecondsPerSecond = 1e6;
    const Instant interval(
        static_cast<Instant::rep>(MicrosecondsPerSecond * SenderCount / (UsedFraction * perSecond)));
    const auto last = m_lastSent.find(upstream);
    return (last == m_lastSent.end() || now - last->second >= interval)
           && isSender(upstream, ownName, instances);
}

void ColdStartLimiter::recordSend(std::string_view upstream, Instant now)
{
    m_lastSent.insert_or_assign(std::string(upstream), now);
}

} // namespace chestnutsill
