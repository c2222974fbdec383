#pragma once

#include "chestnutsill/policy/gossipqueue.h"
#include "chestnutsill/policy/instant.h"
#include "chestnutsill/policy/prompt.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chestnutsill {

/// Work in progress at one upstream.
struct Load
{
    int running = 0;
    /// Prompt tokens that are sent and not yet read.
    double tokensToPrefill = 0;
};

/// Load of one upstream as an instance tells its peers.
struct UpstreamLoad
{
    /// Hash of the upstream's id.
    std::uint64_t upstream = 0;
    Load load;
};

/// The work of all instances by upstream: this instance's exactly, that of its peers as last heard. Upstreams
/// are told to peers by a hash of their id. Not thread-safe.
class LoadTable
{
public:
    /// What a peer said is forgotten after this time.
    static constexpr milliseconds PeerTimeout{1000};

    /// Records that a request is sent with so many prompt tokens to read.
    void recordStart(std::string_view upstream, double tokens);
    /// Records that its prompt has been read.
    void recordPrefill(std::string_view upstream, double tokens);
    /// Records that it has ended.
    void recordEnd(std::string_view upstream);

    /// Takes what a peer has in progress.
    void mergeLoads(std::string_view peer, const std::vector<UpstreamLoad> &loads, Instant now);

    /// Work of all instances at an upstream.
    [[nodiscard]] Load total(std::string_view upstream, Instant now) const;

    /// Work of this instance, for its peers.
    [[nodiscard]] std::vector<UpstreamLoad> localLoads() const;

    /// Work of this instance and of its peers but those named, for a hub that tells it on.
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

/// Shared prompt parts that an instance lets an upstream read, as it tells its peers.
struct PrefixCacheUpdate
{
    /// Hash of the upstream's id.
    std::uint64_t upstream = 0;
    std::vector<PromptPart> parts;
    /// Whether the upstream has read them; else they are sent and wait.
    bool prefilled = false;
};

/// How many tokens at the start of a prompt an upstream holds.
struct CachedTokens
{
    /// Those that it needn't read when it comes to the prompt: it has read them, or will have by then.
    double cached = 0;
    /// Those of them that it has read already, so that another upstream can fetch them.
    double prefilled = 0;
};

/// Which prompt parts an upstream is likely to hold, from the work of all instances, least recently used
/// first out. Not thread-safe.
class PrefixCacheIndex
{
public:
    /// Heartbeats that carry each copy, since single ones get lost.
    static constexpr int TransmitCount = 3;

    /// What an upstream holds of a prompt.
    [[nodiscard]] CachedTokens lookup(std::string_view upstream, const Prompt &prompt) const;

    [[nodiscard]] double cachedTokens(std::string_view upstream, const Prompt &prompt) const
    {
        return lookup(upstream, prompt).cached;
    }

    [[nodiscard]] double prefilledTokens(std::string_view upstream, const Prompt &prompt) const
    {
        return lookup(upstream, prompt).prefilled;
    }

    /// Records that this instance lets an upstream read a prompt; `capacity` is its memory in tokens.
    void recordSend(std::string_view upstream, const Prompt &prompt, std::uint64_t capacity);

    /// Records that an upstream has read a prompt that it was sent.
    void recordPrefill(std::string_view upstream, const Prompt &prompt);

    /// Takes what a peer has had read; a hub tells it on if it is new.
    void mergeUpdate(const PrefixCacheUpdate &update, bool relay);

    /// Shared parts that this instance has had read lately, for the next heartbeat.
    [[nodiscard]] std::vector<PrefixCacheUpdate> takeUpdates() { return m_updates.take(); }

    /// Forgets an upstream, which has lost its memory.
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
