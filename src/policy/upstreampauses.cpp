#include "chestnutsill/policy/upstreampauses.h"

#include <algorithm>

namespace chestnutsill {

Instant UpstreamPauses::record(std::string_view upstream, std::int64_t startUnixMs, milliseconds pause,
                               Instant now)
{
    const Instant until = now + std::clamp<milliseconds>(pause, milliseconds(0), MaxPause);
    const auto [found, isNew] = m_pauses.try_emplace(std::string(upstream), Pause{startUnixMs, until});
    Pause &known = found->second;
    if (known.startUnixMs != startUnixMs)
        known = {startUnixMs, until};
    known.until = std::max(known.until, until);
    return known.until;
}

std::optional<Instant> UpstreamPauses::pausedUntil(std::string_view upstream, std::int64_t startUnixMs,
                                                   Instant now) const
{
    const auto found = m_pauses.find(upstream);
    if (found == m_pauses.end() || found->second.startUnixMs != startUnixMs || now >= found->second.until)
        return std::nullopt;
    return found->second.until;
}

void UpstreamPauses::expire(Instant now)
{
    std::erase_if(m_pauses, [&](const auto &item) { return now >= item.second.until; });
}

} // namespace chestnutsill
