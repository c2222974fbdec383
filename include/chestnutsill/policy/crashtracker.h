#pragma once

#include "chestnutsill/policy/crashhistory.h"
#include "chestnutsill/policy/crashingparts.h"
#include "chestnutsill/policy/gossipqueue.h"
#include "chestnutsill/policy/instant.h"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutsill {

/// Hash of an upstream's id and incarnation, by which instances tell each other of its end.
[[nodiscard]] std::uint64_t incarnationKeyOf(std::string_view upstream,
                                             std::string_view incarnation) noexcept;

/// One crash of an upstream, as an instance reports it to its peers.
struct CrashNotice
{
    /// See `incarnationKeyOf`.
    std::uint64_t incarnation = 0;
    /// Fingerprints of the requests of the reporting instance that were running at the upstream.
    std::vector<std::uint64_t> fingerprints;
    /// Shared prompt parts of these requests.
    std::vector<SuspectPart> parts;
    /// When the crash was noticed, by this instance's clock; the age of the notice replaces it in messages.
    Instant at{};
};

/// Detects requests, and prompt parts of requests, that crash the upstreams that run them. Each request
/// running at the time of a crash gets a strike, and its parts are suspected; see `CrashingParts`. A request
/// that completes loses its strikes, and so do its parts, at this instance and at its peers. Not thread-safe.
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
    /// Maximum number of parts in a crash notice, which has to fit into a datagram.
    static constexpr std::size_t MaxPartsPerNotice = 512;

    /// Records that a request is sent to an upstream. `parts` are the shared parts of its prompt in order.
    void recordStart(std::string_view upstream, std::uint64_t fingerprint,
                     std::span<const std::uint64_t> parts = {});

    /// Records that an attempt has ended, and whether its connection broke.
    void recordEnd(std::string_view upstream, std::uint64_t fingerprint, bool connectionBroke, Instant now);

    /// Records that an upstream has crashed. Returns the number of requests to which the crash is attributed.
    /// Unless `attributeToParts` is set, their parts are not suspected.
    std::size_t recordCrash(std::string_view upstream, std::string_view incarnation, Instant now,
                            bool attributeToParts = true);

    /// Records that a request has completed and clears its strikes. Returns whether it had any.
    bool recordCompletion(std::uint64_t fingerprint);

    /// Records that a request with these shared parts was served.
    void recordPartsServed(std::span<const std::uint64_t> parts, Instant now);

    /// Merges a crash notice from a peer. `relay` is set at a hub, which passes on notices that are new to
    /// it.
    void mergeNotice(const CrashNotice &notice, Instant now, bool relay);

    /// Clears the strikes of a request that a peer has seen completing. `relay` is set at a hub, which passes
    /// on the fingerprint if the request had strikes here.
    void mergeCleared(std::uint64_t fingerprint, bool relay);

    /// Clears a part of which a peer has seen a request served. `relay` is set at a hub.
    void mergeServedPart(std::uint64_t part, Instant now, bool relay);

    /// Whether a request with the part is in progress at this instance.
    [[nodiscard]] bool isInProgress(std::uint64_t part) const;

    [[nodiscard]] CrashingParts &parts() noexcept { return m_parts; }
    [[nodiscard]] const CrashingParts &parts() const noexcept { return m_parts; }

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

    /// Parts that were suspected and have been served, for the next heartbeat.
    [[nodiscard]] std::vector<std::uint64_t> takeServedParts() { return m_servedParts.take(); }

private:
    struct RunningRequest
    {
        std::uint64_t fingerprint = 0;
        std::vector<std::uint64_t> parts;
    };

    struct BrokenAttempt
    {
        RunningRequest request;
        Instant at{};
    };

    struct UpstreamAttempts
    {
        std::vector<RunningRequest> running;
        std::vector<BrokenAttempt> broken;
    };

    static void addTo(CrashNotice &notice, const RunningRequest &request);
    void addToHistory(const CrashNotice &notice, Instant now);

    CrashHistory m_history;
    CrashingParts m_parts;
    /// Incarnations whose crash is known, so that notices about it are relayed only once.
    std::set<std::uint64_t> m_knownCrashes;
    std::map<std::string, UpstreamAttempts, std::less<>> m_upstreams;
    GossipQueue<CrashNotice, TransmitCount> m_notices;
    GossipQueue<std::uint64_t, TransmitCount> m_cleared;
    GossipQueue<std::uint64_t, TransmitCount> m_servedParts;
};

} // namespace chestnutsill
