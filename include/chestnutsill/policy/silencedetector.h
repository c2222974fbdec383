#pragma once

#include "chestnutsill/policy/instant.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutsill {

/// Detects upstreams that have stopped sending although requests are in progress there, such as those that
/// have lost power: their connections stay open, so no request fails. Answers no load; it keeps new requests
/// away from upstreams that would not answer them.
///
/// An upstream is suspected once no byte has arrived from it, on any connection, for longer than its usual
/// pauses, or when it does not answer an attempt to connect, or when a peer reports it. A suspected upstream
/// has to be verified by a health check, and is silent if that gets no response. Any byte ends the suspicion.
/// Not thread-safe.
class SilenceDetector
{
public:
    /// Period in which `detect` is to be called.
    static constexpr milliseconds CheckPeriod{50};
    /// Shortest silence that raises a suspicion.
    static constexpr milliseconds MinSilence{150};
    /// A sound upstream may send nothing for a second or so, and goes on with what it runs.
    static constexpr milliseconds ToleratedSilence{1500};
    /// Time for which reports of peers about an upstream are ignored after one has proved wrong.
    static constexpr std::chrono::seconds ReportQuietTime{30};

    /// Records that a request is sent to an upstream, whose first byte is expected after a time.
    void recordSend(std::string_view upstream, Instant expectedFirstByte, Instant now);

    /// Records that bytes of a response have arrived from an upstream, on any connection.
    void recordBytes(std::string_view upstream, Instant now);

    /// Records the first bytes of the response to a request, in addition to `recordBytes`.
    void recordFirstBytes(std::string_view upstream);

    /// Records that a request has ended. `begun` tells whether `recordFirstBytes` was called for it.
    void recordEnd(std::string_view upstream, bool begun);

    /// Suspects an upstream because it did not answer an attempt to connect.
    void suspect(std::string_view upstream, Instant now);

    /// Suspects an upstream that a peer reports as silent, unless this instance hears from it.
    void recordPeerReport(std::string_view upstream, Instant now);

    /// Records that a suspected upstream has not responded to a health check.
    void recordUnanswered(std::string_view upstream);

    /// Ends the suspicion without a response: the upstream has ended or is no longer published.
    void dismiss(std::string_view upstream);

    /// Returns the suspected upstreams that are not being verified yet; `endVerification` must be called for
    /// each. Time in which this process did not run does not count as silence.
    [[nodiscard]] std::vector<std::string> detect(Instant now);

    /// Records that the verification of an upstream has ended.
    void endVerification(std::string_view upstream);

    /// Whether an upstream is suspected, verified or not.
    [[nodiscard]] bool isSuspected(std::string_view upstream) const;

    /// Whether an upstream is suspected and has not responded to a health check.
    [[nodiscard]] bool isSilent(std::string_view upstream) const;

    /// When bytes of an upstream last arrived on any connection; the clock's origin if none have.
    [[nodiscard]] Instant heardAt(std::string_view upstream) const;

    /// Upstreams that are silent, to report to peers.
    [[nodiscard]] std::vector<std::string_view> silentUpstreams() const;

    /// Time since the last byte from an upstream or, if that is shorter, since it has requests in progress;
    /// zero if it has none.
    [[nodiscard]] Instant silence(std::string_view upstream, Instant now) const;

private:
    struct Record
    {
        int inProgress = 0;
        /// Requests in progress of which bytes have arrived.
        int begun = 0;
        /// When the upstream last sent bytes, or when the first of the requests in progress was sent.
        Instant silentSince{};
        /// No suspicion is raised before this instant, because a prompt is expected to be prefilled until
        /// then.
        Instant busyUntil{};
        /// Largest recent pause, which halves in `PauseHalfLife`, and when it was updated.
        Instant usualPause{};
        Instant usualPauseAt{};
        Instant heardAt{};
        bool suspected = false;
        bool suspectedByPeer = false;
        bool unanswered = false;
        bool verifying = false;
        /// When a suspicion that a peer had raised proved wrong.
        std::optional<Instant> peerRefutedAt;
    };

    [[nodiscard]] static Instant usualPauseOf(const Record &record, Instant now);
    [[nodiscard]] static Instant maxSilence(const Record &record, Instant now);
    [[nodiscard]] static bool isOverdue(const Record &record, Instant now);
    static void endSuspicion(Record &record);

    std::map<std::string, Record, std::less<>> m_records;
    Instant m_checkedAt{};
};

} // namespace chestnutsill
