#pragma once

#include "chestnutsill/policy/instant.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutsill {

/// Peers whose feed of the store an instance may follow.
struct FeedCandidates
{
    /// Whether the store itself is preferred, because other instances follow the feed of this one.
    bool storeFirst = false;
    /// Peer addresses in order of preference.
    std::vector<std::string> addresses;
};

/// Selects the source from which an instance reads the changes of the store: the store itself or the feed of
/// a peer. A source that has failed is not used for a while; the next candidate replaces it. Thus a hub that
/// cannot reach the store follows the hub of another availability zone, and its followers don't have to query
/// the store one by one. Not thread-safe.
class FeedSelector
{
public:
    /// Time for which a failed source is not used.
    static constexpr milliseconds FailureBackoff{3000};

    /// Address of the peer to follow, or empty for the store itself, which is also the last resort if all
    /// sources have failed recently.
    [[nodiscard]] std::string select(const FeedCandidates &candidates, Instant now) const;

    /// Whether there is a peer that has not failed recently.
    [[nodiscard]] bool hasUsablePeer(const FeedCandidates &candidates, Instant now) const;

    /// Records that a peer does not answer or that its feed is stale.
    void recordPeerFailure(std::string_view address, Instant now);

    /// Records that the store does not answer.
    void recordStoreFailure(Instant now) noexcept { m_storeBackoffUntil = now + FailureBackoff; }

private:
    [[nodiscard]] std::string firstUsablePeer(const FeedCandidates &candidates, Instant now) const;

    std::map<std::string, Instant, std::less<>> m_peerBackoffUntil;
    Instant m_storeBackoffUntil{};
};

} // namespace chestnutsill
