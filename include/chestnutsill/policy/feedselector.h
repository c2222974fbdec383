#pragma once

#include "chestnutsill/policy/instant.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutsill {

/// Peers that an instance may follow the store through.
struct FeedCandidates
{
    /// Whether the store itself is asked before any of them, because others follow it through this instance.
    bool storeFirst = false;
    /// Addresses, the best first.
    std::vector<std::string> addresses;
};

/// Chooses through whom the store is followed: a way that has failed is passed over for a while, and the next
/// one takes its place. So a hub that the store turns away follows the hub of another availability zone, and
/// those that follow it needn't ask the store one by one. Not thread-safe.
class FeedSelector
{
public:
    /// How long a way that has failed is passed over.
    static constexpr milliseconds FailureBackoff{3000};

    /// Address of the peer to follow; empty for the store itself. The store is the answer, too, when every
    /// way has failed lately.
    [[nodiscard]] std::string next(const FeedCandidates &candidates, Instant now) const;

    /// Whether a peer is left that has not failed lately.
    [[nodiscard]] bool hasPeer(const FeedCandidates &candidates, Instant now) const;

    /// Records that a peer doesn't answer, or that what it tells is old.
    void recordPeerFailure(std::string_view address, Instant now);

    /// Records that the store doesn't answer.
    void recordStoreFailure(Instant now) noexcept { m_storeBackoffUntil = now + FailureBackoff; }

private:
    [[nodiscard]] std::string firstUsablePeer(const FeedCandidates &candidates, Instant now) const;

    std::map<std::string, Instant, std::less<>> m_peerBackoffUntil;
    Instant m_storeBackoffUntil{};
};

} // namespace chestnutsill
