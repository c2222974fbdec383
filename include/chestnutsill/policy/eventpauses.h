#pragma once

#include "chestnutsill/policy/instant.h"

#include <algorithm>
#include <optional>

namespace chestnutsill {

/// Longest pause between the events of one response, over all attempts that contribute to it.
///
/// Load: streams whose callers show text as it arrives, and notice when it stops. A pause lasts from the time
/// at which the connection to the caller has taken the last events until further events arrive. The time in
/// which a slow caller doesn't take the bytes is therefore not part of it.
class EventPauses
{
public:
    /// Records that events have arrived, before they are forwarded.
    void recordArrival(Instant now) noexcept { m_longest = longestUntil(now); }

    /// Records that the connection to the caller has taken events.
    void recordForwarded(Instant now) noexcept { m_forwardedAt = now; }

    /// Longest pause between two arrivals; nothing if there were fewer than two.
    [[nodiscard]] std::optional<Instant> longest() const noexcept { return m_longest; }

    /// As `longest`, with the pause that lasts from the last events to `now`, for a stream that has broken
    /// off.
    [[nodiscard]] std::optional<Instant> longestUntil(Instant now) const noexcept
    {
        return m_forwardedAt ? std::max(m_longest.value_or(Instant{}), now - *m_forwardedAt) : m_longest;
    }

private:
    std::optional<Instant> m_forwardedAt;
    std::optional<Instant> m_longest;
};

} // namespace chestnutsill
