#pragma once

#include "chestnutsill/policy/crashingparts.h"
#include "chestnutsill/policy/gossipqueue.h"
#include "chestnutsill/policy/instant.h"
#include "chestnutsill/policy/parthistory.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
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
    /// Shared prompt parts of these requests, the most suspect first.
    std::vector<SuspectPart> parts;
    /// When the crash was noticed, by this instance's clock; the age of the notice replaces it in messages.
    Instant at{};
};

/// Proof that an upstream's process was alive after its crash had been reported.
struct CrashDisproof
{
    /// See `incarnationKeyOf`.
    std::uint64_t incarnation = 0;
    /// When it was alive, by this instance's clock; its age replaces it in messages.
    Instant aliveAt{};
};

/// Detects requests, and prompt parts of requests, that crash the upstreams that run them. Each request whose
/// connection broke in a crash is suspected, and so are its parts; see `CrashingParts`. Of the parts of long
/// prompts only the most suspect ones are; see `PartHistory`. A request that completes and its parts are
/// cleared, at this instance and at its peers. An instance that can't reach an
/// upstream takes it for crashed, until one that does reach it disproves that. Not thread-safe.
class CrashTracker
{
public:
    /// Maximum time from a broken connection to the proof that the upstream has crashed, for the crash to be
    /// attributed to the request of that connection.
    static constexpr milliseconds AttributionWindow{1500};
    /// Crashes that this instance attributes to requests within `MassFailureTime`. More upstreams that end
    /// together have a common cause, or this instance has lost its network.
    static constexpr std::size_t MaxCrashesAtOnce = 3;
    static constexpr milliseconds MassFailureTime{500};
    /// A request that disproves a crash is sent at least this much after the crash was reported, so that the
    /// order is certain to peers whose clocks are only known to within a heartbeat.
    static constexpr milliseconds MinProofDelay{500};
    /// Number of heartbeats that carry each crash notice and each cleared fingerprint, since heartbeats can
    /// be lost, and go to a hub that has failed until that is noticed.
    static constexpr int TransmitCount = 10;
    /// Maximum number of requests, and of parts, in a crash notice, and of notices in a heartbeat, which has
    /// to fit into a datagram.
    static constexpr std::size_t MaxPartsPerNotice = 128;
    static constexpr std::size_t MaxNoticesPerHeartbeat = 24;

    /// Records that a request is sent to an upstream. `parts` are the shared parts of its prompt in order.
    void recordStart(std::string_view upstream, std::uint64_t fingerprint,
                     std::span<const std::uint64_t> parts = {});

    /// Records that an attempt has ended, and whether its connection broke.
    void recordEnd(std::string_view upstream, std::uint64_t fingerprint, bool connectionBroke, Instant now);

    /// Records that an upstream has crashed. Returns the number of requests to which the crash is attributed:
    /// those whose connections broke at most `AttributionWindow` before. Unless `attributeToParts` is set,
    /// their parts are not suspected.
    std::size_t recordCrash(std::string_view upstream, std::string_view incarnation, Instant now,
                            bool attributeToParts = true);

    /// Records that a request has completed. Returns whether it was suspected.
    bool recordCompletion(std::uint64_t fingerprint, Instant now);

    /// Records that a request with these shared parts was served.
    void recordPartsServed(std::span<const std::uint64_t> parts, Instant now);

    /// Records that an upstream's process has answered a request that was sent at an instant, over a
    /// connection that was opened at an earlier one. Returns whether this disproves a reported crash.
    bool recordAnswer(std::uint64_t incarnation, Instant connectedAt, Instant sentAt, Instant now);

    /// Merges a crash notice from a peer. `relay` is set at a hub, which passes on notices that hold anything
    /// new to it. Returns whether it does.
    bool mergeNotice(const CrashNotice &notice, Instant now, bool relay);

    /// Merges a disproof from a peer. `relay` is set at a hub.
    void mergeDisproof(const CrashDisproof &disproof, Instant now, bool relay);

    /// Clears a request that a peer has seen completing. `relay` is set at a hub, which passes on the
    /// fingerprint if the request was suspected here.
    void mergeCleared(std::uint64_t fingerprint, Instant now, bool relay);

    /// Clears a part of which a peer has seen a request served. `relay` is set at a hub.
    void mergeServedPart(std::uint64_t part, Instant now, bool relay);

    /// Whether a request with the part, or with this fingerprint, is in progress at this instance.
    [[nodiscard]] bool isInProgress(std::uint64_t part) const;

    /// Until when a request with these parts and this fingerprint is refused; nothing if it may be sent. Once
    /// a ban has ended, one instance lets one request at a time through: that for which `mayTry` holds.
    [[nodiscard]] std::optional<Instant> refusedUntil(std::span<const std::uint64_t> parts,
                                                      std::uint64_t fingerprint,
                                                      const std::function<bool(std::uint64_t)> &mayTry,
                                                      Instant now) const;

    [[nodiscard]] CrashingParts &parts() noexcept { return m_parts; }
    [[nodiscard]] const CrashingParts &parts() const noexcept { return m_parts; }

    /// Crash notices for the next heartbeat.
    [[nodiscard]] std::vector<CrashNotice> takeNotices() { return m_notices.take(MaxNoticesPerHeartbeat); }

    /// Disproofs for the next heartbeat.
    [[nodiscard]] std::vector<CrashDisproof> takeDisproofs() { return m_disproofs.take(); }

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
        std::uint64_t fingerprint = 0;
        /// The most suspect first.
        std::vector<SuspectPart> parts;
        Instant at{};
    };

    struct UpstreamAttempts
    {
        std::vector<RunningRequest> running;
        std::vector<BrokenAttempt> broken;
    };

    /// Notice of a crash to which these attempts are attributed. Takes the most suspect part of each of them,
    /// then the next one of each, as far as the notice holds them.
    [[nodiscard]] static CrashNotice noticeOf(std::span<const BrokenAttempt> attempts, bool withParts);
    /// Returns whether the notice holds anything new.
    bool addToParts(const CrashNotice &notice, Instant now);

    CrashingParts m_parts;
    PartHistory m_partHistory;
    /// Reported crashes that may be disproved, and when they were noticed.
    std::map<std::uint64_t, Instant> m_reportedCrashes;
    std::map<std::string, UpstreamAttempts, std::less<>> m_upstreams;
    /// Upstreams that have crashed in the last `MassFailureTime`, and when.
    std::map<std::string, Instant, std::less<>> m_recentCrashes;
    GossipQueue<CrashNotice, TransmitCount> m_notices;
    GossipQueue<CrashDisproof, TransmitCount> m_disproofs;
    GossipQueue<std::uint64_t, TransmitCount> m_cleared;
    GossipQueue<std::uint64_t, TransmitCount> m_servedParts;
};

} // namespace chestnutsill
