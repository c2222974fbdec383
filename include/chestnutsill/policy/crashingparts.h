#pragma once

#include "chestnutsill/policy/instant.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace chestnutsill {

/// A shared prompt part of a request that was in progress at a crash, or the whole request.
struct SuspectPart
{
    std::uint64_t part = 0;
    /// Number of shared parts that follow it in the prompt, at most 255. The fewer, the more specific the
    /// part is.
    std::uint8_t following = 0;
    /// Whether it is the fingerprint of a whole request, which is more specific than any part of it.
    bool isWhole = false;
};

/// A part that is refused, as an instance reports it to its peers.
struct PartBan
{
    std::uint64_t part = 0;
    /// Failures that are attributed to the part.
    int strikes = 0;
    /// Time since the last of them.
    milliseconds age{};
};

/// Finds the prompt parts that crash upstreams, in whatever requests they occur, and whole requests that do,
/// and refuses them. Answers no load.
///
/// Each part of the requests in progress at a crash is suspected until a request with it is served. A part
/// with `MaxStrikes` failures is banned. The failures that a banned part explains are held against no other
/// part; of several parts with equally many, the most specific one is banned. A ban ends after a time that
/// doubles with each further failure, and then lets single requests through. A reported crash that an
/// upstream disproves counts for nothing. Memory use is bounded: the oldest crash is evicted first. Not
/// thread-safe.
class CrashingParts
{
public:
    static constexpr int MaxStrikes = 3;
    /// Crashes within this time of each other count as one failure of a part, because upstreams that fail
    /// together rather have a common cause than that each runs the same part at that moment. A whole request
    /// that runs at several of them is rather the cause.
    static constexpr milliseconds SameFailure{100};
    /// Reports of one crash arrive within this time of each other. A process ends only once, so a report that
    /// comes later shows that the earlier ones were wrong.
    static constexpr milliseconds MaxReportSpread{5000};
    /// Duration of a ban with `MaxStrikes` failures.
    static constexpr std::chrono::seconds FirstBan{30};
    /// Time for which a crash is kept, and maximum duration of a ban.
    static constexpr std::chrono::minutes Retention{10};
    /// Maximum number of crashes kept.
    static constexpr std::size_t MaxCrashes = 512;
    /// Shared parts of one request that a crash makes suspect: the most suspect ones; see `PartHistory`. All
    /// are checked for bans.
    static constexpr std::size_t MaxPartsPerRequest = 32;

    /// Records the parts that were in progress at a crash, which happened at the instant `at`. A crash that
    /// is reported repeatedly counts once for each part. Returns whether any part is newly suspected.
    bool recordCrash(std::uint64_t crash, std::span<const SuspectPart> parts, Instant at, Instant now);

    /// Records that a request with the part was served. Returns whether the part was suspected.
    bool clear(std::uint64_t part, Instant now);

    /// Records that the process whose crash was reported was alive at an instant. Earlier reports of it count
    /// for nothing. Returns whether there were any.
    bool disprove(std::uint64_t crash, Instant aliveAt, Instant now);

    /// Number of kept crashes at which the part was in progress.
    [[nodiscard]] int crashCount(std::uint64_t part) const;

    /// End of the ban of a part, which may be in the past; nothing if the part is not banned.
    [[nodiscard]] std::optional<Instant> bannedUntil(std::uint64_t part, Instant now) const;

    /// All bans, to report to peers.
    [[nodiscard]] std::vector<PartBan> bans(Instant now) const;

    /// Merges a ban that a peer reports, unless the part was served here after the failures.
    void mergeBan(const PartBan &ban, Instant now);

private:
    /// A part that was in progress at a crash.
    struct Suspect
    {
        std::uint8_t following = 0;
        bool isWhole = false;
        Instant crashedAt{};
    };

    struct Crash
    {
        std::uint64_t id = 0;
        Instant at{};
        std::map<std::uint64_t, Suspect> parts;
        bool explained = false;
    };

    struct Ban
    {
        int strikes = 0;
        Instant lastFailureAt{};
    };

    struct Suspicion
    {
        int strikes = 0;
        std::uint8_t following = 0;
        bool isWhole = false;
        Instant lastFailureAt{};
        std::vector<Instant> crashes;
    };

    /// Whether the failures of `b` weigh more than those of `a`.
    [[nodiscard]] static bool isLessSuspect(const Suspicion &a, const Suspicion &b) noexcept;
    static void countFailures(Suspicion &suspicion);
    void forgetExpired(Instant now);
    void forgetCrash(const Crash &crash);
    /// Derives the bans anew if crashes or served parts have changed since. Many changes arrive together, and
    /// most of them before the bans are looked at.
    void updateBans() const;
    void explainBy(std::uint64_t part) const;
    [[nodiscard]] std::map<std::uint64_t, Suspicion> unexplainedSuspicions() const;

    /// Crashes in order of time.
    mutable std::deque<Crash> m_crashes;
    /// Number of kept crashes by part.
    std::unordered_map<std::uint64_t, int> m_crashCounts;
    mutable std::map<std::uint64_t, Ban> m_bans;
    /// Whether the bans may not follow from the crashes.
    mutable bool m_bansOutdated = false;
    /// When a suspected part was last served.
    std::unordered_map<std::uint64_t, Instant> m_servedAt;
    /// When the process of a reported crash was last known to be alive.
    std::unordered_map<std::uint64_t, Instant> m_aliveAt;
};

} // namespace chestnutsill
