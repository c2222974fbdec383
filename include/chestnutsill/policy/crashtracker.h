#pragma once

#include "chestnutsill/policy/crashhistory.h"
#include "chestnutsill/policy/gossipqueue.h"
#include "chestnutsill/policy/instant.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutsill {

/// One crash of an upstream as an instance tells it to its peers.
struct CrashNotice
{
    /// Hash that names the incarnation of the upstream that crashed.
    std::uint64_t incarnation = 0;
    /// Fingerprints of the requests that were running there for this instance.
    std::vector<std::uint64_t> fingerprints;
};

/// Finds requests that crash the upstreams that run them. Every request that was running at a crash gets a
/// strike; one that completes is cleared, here and at the peers. Not thread-safe.
class CrashTracker
{
public:
    /// Strikes from which on a request is no longer sent to any upstream.
    static constexpr int MaxStrikes = 3;
    /// Time between the end of a connection and the proof that its upstream has crashed.
    static constexpr milliseconds AttributionWindow{1500};
    /// Heartbeats that carry each piece of news, since single ones get lost.
    static constexpr int TransmitCount = 5;

    /// Records that a request is sent to an upstream.
    void recordStart(std::string_view upstream, std::uint64_t fingerprint);

    /// Records that its attempt has ended, and whether its connection broke.
    void recordEnd(std::string_view upstream, std::uint64_t fingerprint, bool connectionBroke, Instant now);

    /// Records that an upstream has crashed. Returns the number of requests that were running there.
    std::size_t recordCrash(std::string_view upstream, std::string_view incarnation, Instant now);

    /// Records that a request has completed; returns whether it was suspected.
    bool recordCompletion(std::uint64_t fingerprint);

    /// Take what a peer tells; a hub tells it on if it is new.
    void mergeNotice(const CrashNotice &notice, Instant now, bool forward);
    void mergeCleared(std::uint64_t fingerprint, bool forward);

    /// Number of crashes in which a request was running and after which it has not completed.
    [[nodiscard]] int strikes(std::uint64_t fingerprint, Instant now)
    {
        return m_history.strikes(fingerprint, now);
    }

    /// News for the next heartbeat.
    [[nodiscard]] std::vector<CrashNotice> takeNotices() { return m_notices.take(); }
    [[nodiscard]] std::vector<std::uint64_t> takeCleared() { return m_cleared.take(); }

private:
    struct BrokenAttempt
    {
        std::uint64_t fingerprint = 0;
        Instant at{};
    };

    struct UpstreamAttempts
    {
        std::vector<std::uint64_t> running;
        std::vector<BrokenAttempt> broken;
    };

    void addToHistory(const CrashNotice &notice, Instant now);

    CrashHistory m_history;
    /// Incarnations whose crash is known.
    std::set<std::uint64_t> m_knownCrashes;
    std::map<std::string, UpstreamAttempts, std::less<>> m_upstreams;
    GossipQueue<CrashNotice, TransmitCount> m_notices;
    GossipQueue<std::uint64_t, TransmitCount> m_cleared;
};

} // namespace chestnutsill
