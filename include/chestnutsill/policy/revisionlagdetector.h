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
    static constexpr milliseconds MaxLag{300};

    /// Records the revision that a peer has read up to, and the one that this instance has.
    void recordPeerRevision(std::uint64_t peerRevision, std::uint64_t ownRevision, Instant now) noexcept
    {
        m_newestPeerRevision = std::max(m_newestPeerRevision, peerRevision);
        if (ownRevision >= m_newestPeerRevision)
            m_behindSince.reset();
        else if (!m_behindSince)
            m_behindSince = now;
    }

    /// Records that this instance has read up to a revision.
    void recordOwnRevision(std::uint64_t ownRevision) noexcept
    {
        if (ownRevision >= m_newestPeerRevision)
            m_behindSince.reset();
    }

    /// Gives another way of following the store as long as the one before it had.
    void restartTimer(Instant now) noexcept
    {
        if (m_behindSince)
            m_behindSince = now;
    }

    /// Whether it has been behind for too long.
    [[nodiscard]] bool isLagging(Instant now) const noexcept
    {
        return m_behindSince && now - *m_behindSince >= MaxLag;
    }

private:
    std::uint64_t m_newestPeerRevision = 0;
    std::optional<Instant> m_behindSince;
};

} // namespace chestnutsill
