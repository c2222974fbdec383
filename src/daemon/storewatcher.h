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

/// Follows what is published in the store: a full read first, then one waiting call after another, at the
/// store itself or at a peer that follows it.
class StoreWatcher
{
public:
    /// What the watch asks of the instance around it.
    struct Handlers
    {
        /// Called with each published routing table as text, before it is in force.
        std::function<void(std::string_view text)> table;
        /// Peers to follow the store through.
        std::function<FeedCandidates()> feedPeers;
        /// Called when peers that follow the store through this instance can be told more.
        std::function<void()> changed;
    };

    /// `wait` is how long one call waits for changes; while it waits, it also proves that there are none.
    StoreWatcher(std::string address, milliseconds wait, RouterState &state, Handlers handlers);

    /// Follows the store until the process ends.
    void run(const Fiber &fiber);

    /// Revision up to which the store has been followed.
    [[nodiscard]] std::uint64_t revision() const noexcept { return m_complete ? m_log.at() : 0; }

    /// For how long the store has been followed without a gap; 0 while it can't be read.
    [[nodiscard]] milliseconds followedFor(Instant now) const noexcept;

    /// Takes that a peer has followed the store to a revision.
    void recordPeerRevision(std::uint64_t revision);

    /// What a peer that follows the store through this instance is told.
    [[nodiscard]] std::optional<FeedAnswer> feedAnswer(std::uint64_t after) const;

private:
    [[nodiscard]] bool readAll(const Fiber &fiber);
    [[nodiscard]] bool followStore(const Fiber &fiber);
    [[nodiscard]] bool followPeer(const std::string &peer, const Fiber &fiber);
    void applyChanges(const std::vector<PublishedItem> &items, std::uint64_t at);
    void applyItem(const PublishedItem &item, Instant time);
    void withdrawMissing(const std::set<std::string> &seen, std::uint64_t at, Instant time);
    void confirmTable(Instant at);
    void recordFailure(bool hasPeer);
    void recordSuccess(Instant knownAt);
    [[nodiscard]] milliseconds retryPause();

    platform::StoreClient m_client;
    FeedClient m_feed;
    milliseconds m_wait;
    RouterState &m_state;
    Handlers m_handlers;
    std::mt19937_64 m_random;
    ChangeLog m_log;
    bool m_complete = false;
    bool m_reachable = false;
    Instant m_reachableSince{};
    /// The last instant of which the store's state is known.
    Instant m_knownAt{};
    FeedSelector m_choice;
    /// The peer that is being followed; empty for none.
    std::string m_feedPeer;
    RevisionLagDetector m_lag;
};

} // namespace chestnutsill
