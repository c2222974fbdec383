#pragma once

#include "chestnutsill/policy/feedselector.h"
#include "chestnutsill/policy/revisionlagdetector.h"
#include "chestnutsill/router/router.h"
#include "daemon/peerfeed.h"
#include "platform/store.h"

#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace chestnutsill {

/// Keeps the catalog in step with the store: reads all items once, then receives changes by long polls. Both
/// come from the store itself or from a peer that relays them.
class StoreWatcher
{
public:
    /// Callbacks into the instance that owns the watcher.
    struct Handlers
    {
        /// Called with the text of each published routing table, before it is in force.
        std::function<void(std::string_view text)> onTable;
        /// Returns the peers that may relay the store's changes to this instance.
        std::function<FeedCandidates()> feedCandidates;
        /// Returns whether the last confirmation is recent enough for API keys to be accepted.
        std::function<bool()> isKeyFresh;
        /// Called when there are changes to relay to this instance's followers.
        std::function<void()> onChanges;
    };

    /// `wait` is the duration of a long poll. A poll that ends without changes confirms that nothing newer
    /// was published.
    StoreWatcher(std::string address, milliseconds wait, RouterState &state, Handlers handlers);

    /// Runs until the process ends.
    void run(const Fiber &fiber);

    /// Store revision up to which all changes have been applied; 0 until a full read is complete.
    [[nodiscard]] StoreRevision revision() const noexcept
    {
        return m_fullReadDone ? m_changeLog.revision() : StoreRevision{};
    }

    /// How long this instance has followed the store without a gap, directly or through a peer; 0 while it
    /// cannot.
    [[nodiscard]] milliseconds followedFor(Instant now) const noexcept;

    /// Records that a peer has applied changes up to `revision`. Switches to another source if this instance
    /// has been behind for too long.
    void recordPeerRevision(StoreRevision revision);

    /// Changes after a revision for a follower, or a snapshot if the revision is 0, changes since it are no
    /// longer kept, or it is of another era. Nothing until this instance has read all items.
    [[nodiscard]] std::optional<FeedAnswer> feedAnswer(StoreRevision after) const;

private:
    /// Whether the last call to the store failed in a way after which all items have to be read.
    [[nodiscard]] bool mustReadAgain() const noexcept;
    // Return false if the store has not responded.
    [[nodiscard]] bool readAll(const Fiber &fiber);
    [[nodiscard]] bool followStore(const Fiber &fiber);
    /// Polls a peer once and records in the selector how it answered.
    void followPeer(const FeedSource &source, const Fiber &fiber);
    /// Applies changes up to a revision of the current era.
    void applyChanges(const std::vector<PublishedItem> &items, StoreRevision revision);
    /// Replaces the local copy by all items at a revision.
    void applySnapshot(std::vector<PublishedItem> items, StoreRevision revision);
    void applyItem(const PublishedItem &item, std::uint64_t era, Instant time);
    void applyUpstreamEntry(std::string_view id, const PublishedItem &item, std::uint64_t era, Instant time);
    /// Era of the store to which the local copy belongs; 0 before the first full read.
    [[nodiscard]] std::uint64_t era() const noexcept { return m_changeLog.revision().era; }
    /// Whether a response belongs to the era of the local copy. Otherwise its changes are not those since the
    /// revision that was asked for.
    [[nodiscard]] bool isSameEra(StoreRevision revision) const noexcept { return revision.era == era(); }
    /// Waits a short time until peers are known, so that this instance can tell whether it has joined a large
    /// cluster.
    void waitForPeers(const Fiber &fiber) const;
    /// Removes the upstreams, and the zones out of service, whose keys a full read has not returned.
    void removeUnseen(const std::set<std::string> &seen, StoreRevision revision, bool isRestored,
                      Instant time);
    void confirmTable(Instant at);
    /// Logs that the store states another era than before.
    void noteEra();
    /// Records that a call to the store failed. It counts as an outage unless a peer can be followed instead.
    void recordFailure(bool hasUsablePeer);
    /// Records that no source confirms the local copy any more.
    void recordOutage(const std::string &reason);
    /// Records that the entries were those of the store at an instant.
    void recordConfirmed(Instant at);
    void recordSuccess(Instant confirmedAt);
    [[nodiscard]] milliseconds retryPause(const FeedCandidates &candidates);

    platform::StoreClient m_storeClient;
    FeedClient m_feedClient;
    milliseconds m_pollDuration;
    RouterState &m_state;
    Handlers m_handlers;
    std::mt19937_64 m_random;
    ChangeLog m_changeLog;
    /// Whether all items have been read. Reset when the store no longer keeps the changes that this instance
    /// has not read.
    bool m_fullReadDone = false;
    /// Why the last full read failed, as logged; empty after a successful one.
    std::string m_lastReadFailure;
    /// Whether the store is being followed without a gap, directly or through a peer, and since when.
    bool m_isFollowing = false;
    Instant m_followingSince{};
    /// The latest instant at which the local copy is known to have matched the store.
    Instant m_confirmedAt{};
    FeedSelector m_selector;
    FeedSource m_source;
    Instant m_startedAt{};
    /// Until when a restored store, which may lack the newest table, does not confirm that in force.
    Instant m_unconfirmedUntil{};
    /// The era that the store has stated last; 0 before its first response.
    std::uint64_t m_statedEra = 0;
    RevisionLagDetector m_lagDetector;
};

} // namespace chestnutsill
