#pragma once

#include "chestnutsill/policy/gossipqueue.h"
#include "chestnutsill/policy/instant.h"
#include "chestnutsill/policy/prompt.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chestnutsill {

/// Requests in progress at one upstream.
struct Load
{
    /// Number of requests sent to it that have not ended.
    int running = 0;
    /// Prompt tokens sent to it that await prefill.
    double tokensToPrefill = 0;
    /// Those of the running requests that are gap-sensitive streams.
    int gapSensitive = 0;
};

/// Load of one upstream as an instance reports it to its peers.
struct UpstreamLoad
{
    /// Hash of the upstream's id.
    std::uint64_t upstream = 0;
    Load load;
};

/// The load of all instances by upstream: exact for this instance, as last reported for its peers. Not
/// thread-safe.
class LoadTable
{
public:
    /// Age above which a peer's report is discarded.
    static constexpr milliseconds PeerTimeout{1000};

    /// Records that a request is sent of which `tokens` prompt tokens have to be prefilled, and whether it is
    /// a gap-sensitive stream.
    void recordStart(std::string_view upstream, double tokens, bool gapSensitive = false);
    /// Records that these tokens have been prefilled.
    void recordPrefill(std::string_view upstream, double tokens);
    /// Records that a request has ended. After the last one no tokens await prefill.
    void recordEnd(std::string_view upstream, bool gapSensitive = false);

    /// Replaces the reported load of a peer.
    void mergeLoads(std::string_view peer, const std::vector<UpstreamLoad> &loads, Instant now);

    /// Load of all instances at an upstream.
    [[nodiscard]] Load total(std::string_view upstream, Instant now) const;

    /// Age of the newest report of a peer; nothing if there is none.
    [[nodiscard]] std::optional<Instant> peerReportAge(Instant now) const;

    /// Load of this instance, to report to its peers.
    [[nodiscard]] std::vector<UpstreamLoad> localLoads() const;

    /// Load of this instance alone.
    [[nodiscard]] Load own(std::string_view upstream) const;

    /// Load of this instance and of all its peers except those named, for a hub to relay to them.
    [[nodiscard]] std::vector<UpstreamLoad> sumExcluding(const std::set<std::string, std::less<>> &peers,
                                                         Instant now) const;

private:
    struct PeerLoad
    {
        std::unordered_map<std::uint64_t, Load> loads;
        Instant receivedAt{};
    };

    std::map<std::string, Load, std::less<>> m_own;
    std::map<std::string, PeerLoad, std::less<>> m_peers;
};

/// Shared prompt parts that an instance has sent to an upstream, as reported to its peers.
struct PrefixCacheUpdate
{
    /// Hash of the upstream's id.
    std::uint64_t upstream = 0;
    std::vector<PromptPart> parts;
    /// Whether the upstream has prefilled them; otherwise they await prefill.
    bool prefilled = false;
};

/// Tokens at the start of a prompt that are in an upstream's prefix cache.
struct CachedTokens
{
    /// Tokens that it won't have to prefill when it starts on the prompt: they are prefilled, or will be by
    /// then.
    double cached = 0;
    /// Those of them that it has prefilled already, so that another upstream can fetch them.
    double prefilled = 0;
};

/// Estimates which prompt parts each upstream has in its prefix cache, from the requests of all instances.
/// Evicts the least recently used parts first. Not thread-safe.
class PrefixCacheIndex
{
public:
    /// Number of heartbeats that carry each update, since heartbeats can be lost.
    static constexpr int TransmitCount = 3;

    /// Tokens of a prompt that an upstream has cached.
    [[nodiscard]] CachedTokens lookup(std::string_view upstream, const Prompt &prompt) const;

    [[nodiscard]] double cachedTokens(std::string_view upstream, const Prompt &prompt) const
    {
        return lookup(upstream, prompt).cached;
    }

    [[nodiscard]] double prefilledTokens(std::string_view upstream, const Prompt &prompt) const
    {
        return lookup(upstream, prompt).prefilled;
    }

    /// Records that this instance sends a prompt to an upstream whose prefix cache holds `capacity` tokens.
    /// No parts of an upstream are evicted while its capacity is 0 or not known yet.
    void recordSend(std::string_view upstream, const Prompt &prompt, std::uint64_t capacity);

    /// Records that an upstream has prefilled a prompt sent by this instance.
    void recordPrefill(std::string_view upstream, const Prompt &prompt);

    /// Merges an update from a peer. `relay` is set at a hub, which passes on updates that are new to it.
    void mergeUpdate(const PrefixCacheUpdate &update, bool relay);

    /// Updates for the next heartbeat.
    [[nodiscard]] std::vector<PrefixCacheUpdate> takeUpdates() { return m_updates.take(); }

    /// Forgets the parts of an upstream that has lost its prefix cache.
    void forget(std::string_view upstream);

private:
    struct CachedPart
    {
        PromptPart part;
        bool prefilled = false;
    };

    struct UpstreamCache
    {
        /// Parts from the least to the most recently used.
        std::list<CachedPart> order;
        std::unordered_map<std::uint64_t, std::list<CachedPart>::iterator> byId;
        std::uint64_t tokens = 0;
        std::uint64_t capacity = 0;
    };

    static void touch(UpstreamCache &cache, std::span<const PromptPart> parts, bool prefilled);
    [[nodiscard]] static bool contains(const UpstreamCache &cache, const PrefixCacheUpdate &update);
    void add(std::string_view upstream, const Prompt &prompt, bool prefilled);

    /// By hash of the upstream's id.
    std::unordered_map<std::uint64_t, UpstreamCache> m_caches;
    GossipQueue<PrefixCacheUpdate, TransmitCount> m_updates;
};

} // namespace chestnutsill
