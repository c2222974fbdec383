#pragma once

#include "chestnutsill/policy/instant.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chestnutsill {

/// A process of an upstream whose speed is learnt.
struct SpeedSubject
{
    std::string_view service;
    std::string_view upstream;
    /// Start of the process, as published. Another one is a process of which nothing is known yet.
    std::int64_t startUnixMs = 0;
};

/// A quantity that an instance, or all instances of an availability zone, have observed, as it is sent to
/// peers.
struct SpeedReport
{
    /// Hash of the upstream's id and of the start of its process, or of a kind of samples.
    std::uint64_t key = 0;
    /// Logarithm of the quantity in steps of `UpstreamSpeeds::LogStep`.
    std::int16_t logValue = 0;
    /// Number of samples, on a logarithmic scale; see `UpstreamSpeeds::toSamples`.
    std::uint8_t weight = 0;
};

/// What a heartbeat says about speeds.
struct SpeedReports
{
    /// Speeds of upstreams.
    std::vector<SpeedReport> upstreams;
    /// Times that the samples of each kind are compared with.
    std::vector<SpeedReport> baselines;
};

/// How a report was made, which decides how far it is trusted and to whom a hub passes it on.
enum class SpeedReportOrigin {
    /// By one instance from its own samples.
    Instance,
    /// By a hub, from the reports of several instances.
    Hub,
};

/// Learns how fast each upstream of a service is in comparison with the median upstream of the service.
/// Addresses services whose engines differ by a factor of two or more, of which each instance sees only two
/// or three requests per engine in ten seconds.
///
/// A sample is the time to the first token per prompt token of a request that had no other prompt ahead of
/// it, or the median of a few gaps between events while no prompt awaited prefill. Its logarithm is compared
/// with the baseline of samples of its kind: the median over the upstreams of the service. For gaps, the
/// effect of the number of running requests is learnt and removed. An estimate is the median of the recent
/// samples, moved to the mean of those close to it, so that cold engines, cached prompts and stragglers
/// hardly move it. Instances exchange estimates and baselines with the number of samples behind them, and
/// combine them in the same way. All lose weight with an age of some ten seconds.
///
/// The speed is 1 unless it differs from 1 by more than twice its standard error and by more than about 15 %.
/// Not thread-safe.
class UpstreamSpeeds
{
public:
    /// Time in which the weight of a sample or report falls to 1/e, and the age at which it is discarded.
    static constexpr seconds MemoryTime{10};
    static constexpr seconds MaxAge{10};
    /// Smallest difference of the logarithm of a speed from 0 that is used: about 15 %.
    static constexpr double MinLogSpeed = 0.14;
    /// Slowest and fastest speed that is used. An overestimate attracts requests and an underestimate only
    /// repels them, so the limit is lower in that direction.
    static constexpr double SlowestSpeed = 0.35;
    static constexpr double FastestSpeed = 1.6;
    /// Prompts with fewer tokens to prefill are not sampled, because other delays would dominate.
    static constexpr double MinTokens = 1000;
    /// Gaps whose median is one sample.
    static constexpr std::size_t GapsPerSample = 5;
    /// Largest number of reports of upstreams and of baselines in a heartbeat, which has to fit into a
    /// datagram. All 90 upstreams of a large deployment are reported within two heartbeats.
    static constexpr std::size_t MaxReports = 48;
    static constexpr std::size_t MaxBaselineReports = 8;
    /// Resolution of reported logarithms.
    static constexpr double LogStep = 0.02;

    /// Switches learning and exchange on or off. While off, all speeds are 1 and nothing is recorded or sent.
    void setEnabled(bool enabled);

    /// Records that the first token of a request with `tokens` prompt tokens to prefill, which had no other
    /// prompt ahead of it, arrived `elapsed` after it was sent. Returns whether it is a sample.
    bool recordFirstToken(const SpeedSubject &subject, double tokens, Instant elapsed, Instant now);

    /// Records a gap between two events of a stream of a route while `running` requests ran at the upstream
    /// and no prompt awaited prefill there. Returns whether it completes a sample.
    bool recordGap(const SpeedSubject &subject, std::string_view route, int running, Instant gap,
                   Instant now);

    /// Computes the speeds of the published upstreams, to be called in each round of heartbeats, and forgets
    /// all others.
    void update(std::span<const SpeedSubject> published, Instant now);

    /// Speed of an upstream as of the last update; 1 if it is unknown or not certain enough.
    [[nodiscard]] double speed(std::string_view upstream, Instant now) const;

    /// Number of samples, with those of peers, behind the speed of an upstream; recent ones count more.
    [[nodiscard]] double samples(std::string_view upstream) const;

    /// Takes the reports of a peer. Those on upstreams that are not known here, and any beyond the largest
    /// numbers in a heartbeat, are ignored.
    void merge(std::string_view peer, SpeedReportOrigin origin, const SpeedReports &reports, Instant now);

    /// Reports of this instance's own samples for its peers or its hub: those that have changed noticeably
    /// since they were last taken.
    [[nodiscard]] SpeedReports takeOwn(Instant now) { return take(Scope::Own, now); }

    /// The same of all instances that report to this one as their hub, for the hubs of other zones.
    [[nodiscard]] SpeedReports takeZone(Instant now) { return take(Scope::Zone, now); }

    /// The same of all instances and hubs, for the members of this hub's zone.
    [[nodiscard]] SpeedReports takeAll(Instant now) { return take(Scope::All, now); }

    /// Reports of `takeAll` without what a peer has itself contributed on upstreams, so that its samples
    /// don't come back to it as those of others.
    [[nodiscard]] SpeedReports withoutPeer(SpeedReports reports, std::string_view peer, Instant now) const;

    /// Number of samples that a reported weight stands for, and the weight for a number of samples.
    [[nodiscard]] static double toSamples(std::uint8_t weight) noexcept;
    [[nodiscard]] static std::uint8_t toWeight(double samples) noexcept;

    /// Identifies a process of an upstream in reports.
    [[nodiscard]] static std::uint64_t keyOf(const SpeedSubject &subject) noexcept;

private:
    /// What a report is on.
    enum class Quantity { Speed, Baseline };

    /// Whose samples a report covers.
    enum class Scope { Own, Zone, All };
    static constexpr std::size_t ScopeCount = 3;

    /// Logarithm of a speed or time with the number of samples behind it.
    struct Estimate
    {
        double logValue = 0;
        double samples = 0;
    };

    struct PeerReport
    {
        std::uint64_t peer = 0;
        SpeedReportOrigin origin = SpeedReportOrigin::Instance;
        Estimate estimate;
        Instant at{};
    };

    /// What was last sent, and how many times it is still sent again.
    struct Sent
    {
        Estimate estimate;
        Instant at{};
        int repeats = 0;
    };

    /// A quantity that is exchanged with peers.
    struct Shared
    {
        std::vector<PeerReport> reports;
        /// By scope.
        std::array<Sent, ScopeCount> sent{};
        /// Own samples and all reports together as of the last update.
        Estimate all;
    };

    struct Sample
    {
        Instant at{};
        /// Hash of its kind.
        std::uint64_t kind = 0;
        double logTime = 0;
        /// Weight if samples of its kind don't scatter widely.
        double weight = 0;
    };

    /// Gaps of one route that make up the next sample.
    struct GapGroup
    {
        std::uint64_t route = 0;
        Instant at{};
        std::size_t count = 0;
        std::array<double, GapsPerSample> logGaps{};
        double loadSum = 0;
    };

    struct Record
    {
        /// The latest own samples in the order of their arrival, and the number that were taken in the second
        /// of the last one.
        std::vector<Sample> samples;
        std::size_t samplesOfSecond = 0;
        Shared speed;
        std::vector<GapGroup> gaps;
        /// Running means of the load and the logarithm of the gap, to learn the effect of the load within
        /// each upstream.
        double meanLoad = 0;
        double meanLogGap = 0;
        int gapSamples = 0;
        /// When the first sample or report of it was recorded.
        std::optional<Instant> knownSince;
    };

    /// What the samples of one kind are compared with.
    struct Baseline
    {
        /// The own samples of an upstream.
        struct Entry
        {
            std::uint64_t upstream = 0;
            /// Mean of the samples, of which later ones count more.
            double logTime = 0;
            /// Difference of the latest sample from what was expected.
            double distance = 0;
            Instant at{};
        };
        std::vector<Entry> entries;
        Shared logTime;
        /// Factor by which samples of this kind count less because they scatter widely.
        double precision = 1;
    };

    /// A report that may be sent.
    struct Change
    {
        /// How much it has changed; worth sending from 1 on.
        double size = 0;
        std::uint64_t key = 0;
        Estimate estimate;
        Sent *sent = nullptr;
    };

    /// How the gap grows with the load, by least squares over the deviations from each upstream's means.
    struct LoadEffect
    {
        double products = 0;
        double squares = 0;
    };

    struct Current
    {
        double speed = 1;
        double samples = 0;
    };

    void addSample(std::uint64_t kind, std::uint64_t upstream, double logTime, double weight, Instant now);
    static void addToBaseline(Baseline &baseline, std::uint64_t upstream, double logTime, double logSpeed,
                              Instant now);
    static void addOwnSample(Record &record, const Sample &sample);
    static void learnLoadEffect(LoadEffect &effect, Record &record, double load, double logGap);
    void updateBaselines(Instant now);
    [[nodiscard]] Estimate ownEstimate(const Record &record, Instant now) const;
    [[nodiscard]] static Estimate ownEstimate(const Baseline &baseline);
    /// Combines own samples and reports. Those on a speed count less if they contradict each other; on a
    /// baseline they don't, because without one nothing is learnt.
    [[nodiscard]] static Estimate combine(Quantity quantity, const Estimate &own, const Shared &shared,
                                          Scope scope, Instant now);
    static void merge(Shared &shared, const PeerReport &report);
    /// Takes those of the changes that are largest.
    [[nodiscard]] static std::vector<SpeedReport> take(std::vector<Change> changes, std::size_t max,
                                                       Instant now);
    [[nodiscard]] SpeedReports take(Scope scope, Instant now);

    bool m_enabled = true;
    /// By key of the upstream's process.
    std::unordered_map<std::uint64_t, Record> m_records;
    /// By hash of the kind of samples: the service, and the route if they are of gaps.
    std::unordered_map<std::uint64_t, Baseline> m_baselines;
    /// By service.
    std::map<std::string, LoadEffect, std::less<>> m_loadEffects;
    /// By upstream, as of the last update.
    std::map<std::string, Current, std::less<>> m_current;
    Instant m_updatedAt{};
};

} // namespace chestnutsill
