#pragma once

#include "chestnutsill/policy/instant.h"
#include "chestnutsill/policy/storerevision.h"

#include <algorithm>
#include <optional>

namespace chestnutsill {

/// Detects that this instance has read older revisions of the store than its peers for longer than changes
/// need to arrive from its own source, which is then stalled or disconnected. Not thread-safe.
class RevisionLagDetector
{
public:
    /// Maximum time for which this instance may be behind a peer.
    static constexpr milliseconds MaxLag{300};

    /// Records the revision up to which a peer has read, and that of this instance.
    void recordPeerRevision(StoreRevision peerRevision, StoreRevision ownRevision, Instant now) noexcept
    {
        m_newestPeerRevision = std::max(m_newestPeerRevision, peerRevision);
        if (ownRevision >= m_newestPeerRevision)
            m_behindSince.reset();
        else if (!m_behindSince)
            m_behindSince = now;
    }

    /// Records the revision up to which this instance has read.
    void recordOwnRevision(StoreRevision ownRevision) noexcept
    {
        if (ownRevision >= m_newestPeerRevision)
            m_behindSince.reset();
    }

    /// Restarts the time after a change of source, so that the new source has `MaxLag` to catch up.
    void restartTimer(Instant now) noexcept
    {
        if (m_behindSince)
            m_behindSince = now;
    }

    /// Whether this instance has been behind for `MaxLag` or longer.
    [[nodiscard]] bool isLagging(Instant now) const noexcept
    {
        return m_behindSince && now - *m_behindSince >= MaxLag;
    }

private:
    StoreRevision m_newestPeerRevision;
    std::optional<Instant> m_behindSince;
};

} // namespace chestnutsill
