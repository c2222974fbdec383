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

/// One crash of an upstream, as an instance reports it to its peers.
struct CrashNotice
{
    /// Hash of the upstream's id and incarnation.
    std::uint64_t incarnation = 0;
    /// Fingerprints of the requests of the reporting instance that were running at the upstream.
    std::vector<std::uint64_t> fingerprints;
};

/// Detects requests that crash the upstreams that run them. Each request running at the time of a crash gets
/// a strike. A request that completes loses its strikes, at this instance and at its peers. Not thread-safe.
class CrashTracker
{
public:
    /// A request with this many strikes is not sent to any upstream.
    static constexpr int MaxStrikes = 3;
    /// Maximum time from a broken connection to the proof that the upstream has crashed, for the crash to be
    /// attributed to the request of that connection.
    static constexpr milliseconds AttributionWindow{1500};
    /// Number of heartbeats that carry each crash notice and each cleared fingerprint, since heartbeats can
    /// be lost.
    static constexpr int TransmitCount = 5;

    /// Records that a request is sent to an upstream.
    void recordStart(std::string_view upstream, std::uint64_t fingerprint);

    /// Records that an attempt has ended, and whether its connection broke.
    void recordEnd(std::string_view upstream, std::uint64_t fingerprint, bool connectionBroke, Instant now);

    /// Records that an upstream has crashed. Returns the number of requests to which the crash is attributed.
    std::size_t recordCrash(std::string_view upstream, std::string_view incarnation, Instant now);

    /// Records that a request has completed and clears its strikes. Returns whether it had any.
    bool recordCompletion(std::uint64_t fingerprint);

    /// Merges a crash notice from a peer. `relay` is set at a hub, which passes on notices that are new to
    /// it.
    void mergeNotice(const CrashNotice &notice, Instant now, bool relay);

    /// Clears the strikes of a request that a peer has seen completing. `relay` is set at a hub, which passes
    /// on the fingerprint if the request had strikes here.
    void mergeCleared(std::uint64_t fingerprint, bool relay);

    /// Number of crashes in the last `CrashHistory::Retention` during which a request was running, since it
    /// last completed.
    [[nodiscard]] int strikes(std::uint64_t fingerprint, Instant now)
    {
        return m_history.strikes(fingerprint, now);
    }

    /// Crash notices for the next heartbeat.
    [[nodiscard]] std::vector<CrashNotice> takeNotices() { return m_notices.take(); }

    /// Fingerprints of completed requests for the next heartbeat.
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
    /// Incarnations whose crash is known, so that notices about it are relayed only once.
    std::set<std::uint64_t> m_knownCrashes;
    std::map<std::string, UpstreamAttempts, std::less<>> m_upstreams;
    GossipQueue<CrashNotice, TransmitCount> m_notices;
    GossipQueue<std::uint64_t, TransmitCount> m_cleared;
};

} // namespace chestnutsill
