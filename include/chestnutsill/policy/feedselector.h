#pragma once

#include "chestnutsill/policy/instant.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutsill {

/// Peers whose feed of the store an instance may follow.
struct FeedCandidates
{
    /// Peer addresses in order of preference.
    std::vector<std::string> addresses;
    /// Whether this instance is a hub, which reads the store itself for the instances that follow it.
    bool isHub = false;
    /// Whether this instance reads the store itself while the feeds of all others are stale.
    bool isDeputy = false;

    [[nodiscard]] bool empty() const noexcept { return addresses.empty() && !isHub; }
};

/// A peer whose confirmation is older is not followed. The bound keeps the follower of a stuck peer well
/// within the time limit for applying a change.
inline constexpr milliseconds MaxFeedAge{2500};

/// Duration of the next long poll of the store for an instance with followers, whose last confirmation has
/// this age. A poll that returns changes confirms only its start, so the next one is shortened to renew the
/// confirmation well before `MaxFeedAge`. `longest` is the duration of a poll after a recent confirmation.
[[nodiscard]] milliseconds storePollDuration(Instant confirmationAge, milliseconds longest) noexcept;

/// Source from which an instance reads the changes of the store.
struct FeedSource
{
    /// Address of the peer to follow; empty for the store itself.
    std::string peer;
    /// Whether to stay with the peer even if its confirmation is stale.
    bool acceptsStale = false;

    bool operator==(const FeedSource &) const = default;
};

/// Selects the source from which an instance reads the changes of the store: the store itself or the feed of
/// a peer. A hub that cannot reach the store follows the hub of another availability zone. When no hub can
/// reach the store, only the hubs and their deputies keep calling it, with exponential backoff, since it may
/// turn away some instances and serve others. All others stay with their hub, whose old feed is still the
/// newest that can be had. So the number of calls in an outage of the store depends on the number of hubs and
/// not on that of instances. Not thread-safe.
class FeedSelector
{
public:
    /// Time for which a source that has failed, or a peer whose feed is stale, is passed over.
    static constexpr milliseconds FailureBackoff{3000};
    /// An instance moves from one stale peer to another only if the latter's confirmation is newer by this:
    /// more than the difference between hubs that lost the store at the same instant.
    static constexpr milliseconds StaleMargin{2000};
    /// Time after its start for which an instance waits for a snapshot from a peer before it reads the store.
    static constexpr milliseconds MaxSnapshotWait{1000};
    /// Delay after the first failed call to the store, and its maximum. It doubles with each failure. In a
    /// small cluster, where each instance reads the store itself, few calls are made at any delay.
    static constexpr milliseconds MinStoreRetryDelay{100};
    static constexpr milliseconds MaxStoreRetryDelay{800};
    static constexpr milliseconds MaxSmallClusterRetryDelay{200};

    /// The source to read next. The store is the last resort if all peers have failed recently.
    [[nodiscard]] FeedSource select(const FeedCandidates &candidates, Instant now) const;

    /// The source of the first full read of an instance that has started at `startedAt`: a peer's snapshot if
    /// a fresh one can be had soon, then the store, and a stale snapshot only when the store has failed too.
    [[nodiscard]] FeedSource selectFirst(const FeedCandidates &candidates, Instant startedAt,
                                         Instant now) const;

    /// Whether there is a peer that has neither failed nor been stale recently.
    [[nodiscard]] bool hasUsablePeer(const FeedCandidates &candidates, Instant now) const;

    /// Records that a peer does not answer.
    void recordPeerFailure(std::string_view address, Instant now);

    /// Records that a peer's feed is stale. `confirmedAt` is the instant of its latest confirmation, if it
    /// has any.
    void recordStalePeer(std::string_view address, std::optional<Instant> confirmedAt, Instant now);

    /// Records that a peer's feed is fresh.
    void recordFreshPeer(std::string_view address);

    /// Records that the store does not answer.
    void recordStoreFailure(Instant now) noexcept;

    /// Records that the store has answered.
    void recordStoreAnswer() noexcept { m_storeFailures = 0; }

    /// How long to wait before the next call after a failure of the store: the current backoff delay scaled
    /// by a random factor between 0.5 and 1. `randomFraction` is in the range 0 to 1.
    [[nodiscard]] milliseconds storeRetryDelay(const FeedCandidates &candidates,
                                               double randomFraction) const noexcept;

private:
    struct PeerState
    {
        Instant backoffUntil{};
        /// Whether the peer answered and only its confirmation was stale.
        bool isStale = false;
        /// The latest confirmation of a stale peer.
        Instant confirmedAt{};
    };

    [[nodiscard]] bool isUsable(const std::string &address, Instant now) const;
    [[nodiscard]] std::string firstUsablePeer(const FeedCandidates &candidates, Instant now) const;
    /// Among the stale peers the first one, unless the confirmation of another is newer by `StaleMargin`.
    [[nodiscard]] std::string bestStalePeer(const FeedCandidates &candidates) const;

    std::map<std::string, PeerState, std::less<>> m_peers;
    Instant m_storeBackoffUntil{};
    /// Consecutive failed calls to the store.
    int m_storeFailures = 0;
};

} // namespace chestnutsill
