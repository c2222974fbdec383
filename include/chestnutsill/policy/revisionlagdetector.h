#pragma once

#include "chestnutsill/policy/instant.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace chestnutsill {

/// Notices that peers have read more of the store than this instance, for longer than it takes the news to
/// come by its own way: what it follows the store through is then stuck or cut off. Not thread-safe.
class RevisionLagDetector
{
public:
    /// How long a peer may have read more.
    static constexpr milliseconds Longest{300};

    /// Records the revision that a peer has read up to, and the one that this instance has.
    void heard(std::uint64_t peers, std::uint64_t own, Instant now) noexcept
    {
        m_newest = std::max(m_newest, peers);
        if (own >= m_newest)
            m_since.reset();
        else if (!m_since)
            m_since = now;
    }

    /// Records that this instance has read up to a revision.
    void reached(std::uint64_t own) noexcept
    {
        if (own >= m_newest)
            m_since.reset();
    }

    /// Gives another way of following the store as long as the one before it had.
    void restart(Instant now) noexcept
    {
        if (m_since)
            m_since = now;
    }

    /// Whether it has been behind for too long.
    [[nodiscard]] bool isTooLong(Instant now) const noexcept { return m_since && now - *m_since >= Longest; }

private:
    std::uint64_t m_newest = 0;
    std::optional<Instant> m_since;
};

} // namespace chestnutsill
