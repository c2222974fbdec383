#include "chestnutsill/policy/coldshare.h"

#include "chestnutsill/policy/hash.h"

#include <algorithm>

namespace chestnutsill {

bool ColdShare::isSender(std::string_view upstream, std::string_view ownName,
                         std::span<const std::string> instances)
{
    const std::uint64_t seed = stableHash(upstream);
    const std::uint64_t own = stableHash(ownName, seed);
    const auto ahead = std::count_if(instances.begin(), instances.end(), [&](const std::string &name) {
        return name != ownName && stableHash(name, seed) > own;
    });
    return ahead < static_cast<std::ptrdiff_t>(Senders);
}

bool ColdShare::admit(std::string_view upstream, double perSecond, std::string_view ownName,
                      std::span<const std::string> instances, Instant now)
{
    if (perSecond <= 0 || !isSender(upstream, ownName, instances))
        return false;
    // In any second a sender sends at most one request more than its rate. Twice the number of senders, at
    // three quarters of what the upstream bears, thus stay under 1.5 times that and five, which is where it
    // falls over.
    constexpr double MicrosecondsPerSecond = 1e6;
    const Instant pause(static_cast<Instant::rep>(MicrosecondsPerSecond * Senders / (UsedPart * perSecond)));
    const auto [found, isFirst] = m_lastSent.try_emplace(std::string(upstream), now);
    if (!isFirst && now - found->second < pause)
        return false;
    found->second = now;
    return true;
}

} // namespace chestnutsill
