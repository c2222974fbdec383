#pragma once

#include "chestnutsill/policy/instant.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chestnutsill {

/// Where an attempt is made.
struct AttemptPlace
{
    std::string_view service;
    std::string_view route;
    std::string_view upstream;
};

/// Use of a service by all instances, as far as this one knows.
struct ServiceUse
{
    /// Requests in progress at its usable upstreams.
    int running = 0;
    /// Requests that these process at a time; 0 if that is not known.
    int slots = 0;
};

/// Why no second attempt is made.
enum class HedgeDenial {
    /// The share of the requests that may get a second attempt is used up.
    Limit,
    /// The upstreams of the service have little room.
    Busy,
    /// Most answers of the service are slow, so that another upstream is slow as well.
    SlowService,
};

/// The name of a reason, for metrics.
[[nodiscard]] std::string_view toString(HedgeDenial reason) noexcept;

/// Decides whether and when a request gets a second attempt (hedged request) while the first one still waits
/// for its answer. The load it addresses: requests that may be repeated, of which a few wait far longer than
/// the others because of the upstream that they were sent to.
///
/// The delay is a quantile of the time from sending to the head of the answer at the same route and upstream:
/// such that on average `AimedShare` of the allowed extra attempts are asked for, and at least `MinQuantile`.
/// With fewer than `MinUpstreamSamples` samples of the upstream, or if the upstream is slower than the
/// others, it is the quantile of the route, over the upstreams that are not slow; with fewer than
/// `MinRouteSamples` of that, no second attempt is made.
///
/// The limit: each account earns `ratio` extra attempts by each of its requests to a service at this
/// instance, starts with none, and saves at most `MaxSaved`. Thus all instances together stay within the
/// ratio without coordination, and no account uses what another one has earned. After one delay a request
/// leaves `EarlyReserve` to those that wait longer; what is denied then is asked for again after each further
/// delay. So the extra attempts go to the slowest answers when there are too few.
///
/// No second attempt is made while more than `MaxUse` of the slots of the service are in use, or while most
/// of its recent answers are slow, and none is sent to an upstream that is slow. An answer is slow if it took
/// longer than the quantile of its route, and most are slow also if their median is more than `SlowFactor`
/// times that of the route. Not thread-safe.
class Hedging
{
public:
    /// Largest ratio that can be set.
    static constexpr double MaxRatio = 0.2;
    /// Part of the allowed extra attempts that is asked for on average. The rest is for bursts.
    static constexpr double AimedShare = 0.7;
    /// `WindowedRetryBudget` lets instances use 0.12 of the requests for retries of all kinds. This quantile
    /// leaves a third of that to retries after failures.
    static constexpr double MinQuantile = 0.92;
    /// Latest samples kept by route and by upstream of a route, and how long they are used.
    static constexpr std::size_t RouteSamples = 256;
    static constexpr std::size_t UpstreamSamples = 64;
    static constexpr seconds SampleLifetime{300};
    /// Samples from which a quantile is known.
    static constexpr std::size_t MinRouteSamples = 32;
    static constexpr std::size_t MinUpstreamSamples = 40;
    /// Shorter delays are not used, because delays within this process would cause most extra attempts.
    static constexpr milliseconds MinDelay{5};
    /// Extra attempts that an account can save.
    static constexpr double MaxSaved = 10;
    /// Extra attempts that are left to requests that wait longer than one delay.
    static constexpr double EarlyReserve = 3;
    /// Largest part of the slots of a service in use at which a second attempt is made. The extra attempts
    /// raise it to at most 0.84.
    static constexpr double MaxUse = 0.7;
    static constexpr double SlowFactor = 2;
    /// Age of recent answers, their largest numbers, and the smallest numbers from which slowness is known.
    static constexpr seconds RecentTime{15};
    static constexpr std::size_t ServiceRecent = 24;
    static constexpr std::size_t UpstreamRecent = 8;
    static constexpr std::size_t MinServiceRecent = 8;
    static constexpr std::size_t MinUpstreamRecent = 3;
    /// Learnt samples of an upstream from which its median is compared with that of the route.
    static constexpr std::size_t MinMedianSamples = 8;

    /// Sets the share of the requests of each service that may get a second attempt, 0 to `MaxRatio`.
    void setRatio(double ratio) noexcept { m_ratio = ratio; }

    /// Records the first attempt of a request, by which its account earns a part of an extra attempt.
    void recordRequest(std::string_view service, std::string_view account);

    /// Records the time from sending an attempt to the head of its answer. Second attempts are not recorded:
    /// only those that are faster than the first would be seen to their end.
    void recordAnswer(const AttemptPlace &place, Instant elapsed, Instant now);

    /// Records that an attempt got no answer for `elapsed` and was then ended by this instance or its caller.
    /// It is a sample only if that exceeds the delay: shorter ones say nothing about the quantile.
    void recordUnanswered(const AttemptPlace &place, Instant elapsed, Instant now);

    /// Records that an attempt still waits after the delay, and that it no longer does.
    void recordOverdue(std::string_view service) { ++m_overdue[std::string(service)]; }
    void recordOverdueEnded(std::string_view service);

    /// Time after which an attempt without an answer may be followed by a second one; empty if that is not
    /// learnt yet.
    [[nodiscard]] std::optional<Instant> delay(const AttemptPlace &place, Instant now) const;

    /// Whether an upstream is slower than others of its route, so that no second attempt is sent to it.
    [[nodiscard]] bool isSlow(const AttemptPlace &place, Instant now) const;

    /// Why a request of this account may get no second attempt now; empty if it may. `isEarly` is set when
    /// it has waited for one delay only.
    [[nodiscard]] std::optional<HedgeDenial> denial(std::string_view service, std::string_view account,
                                                    const ServiceUse &use, bool isEarly, Instant now) const;

    /// Takes one extra attempt from those that the account has earned. Returns false if there is none.
    [[nodiscard]] bool tryAcquire(std::string_view service, std::string_view account);

private:
    /// The latest values of a quantity, with the time of each.
    struct Series
    {
        std::vector<std::pair<Instant, float>> values;
        std::size_t next = 0;
        Instant latest{};

        void add(float value, std::size_t capacity, Instant now);
        [[nodiscard]] std::vector<float> since(Instant start) const;
    };

    /// Orders pairs of strings and of string views.
    struct PairLess
    {
        using is_transparent = void;

        template<typename Left, typename Right>
        bool operator()(const Left &left, const Right &right) const
        {
            const int order = std::string_view(left.first).compare(right.first);
            return order != 0 ? order < 0 : std::string_view(left.second) < std::string_view(right.second);
        }
    };

    /// Times of recent answers as multiples of the median of their route. Slow ones are negative.
    using RecentAnswers = Series;

    /// Sorted samples of a route, or of one of its upstreams if `upstream` is not empty.
    [[nodiscard]] std::vector<float> samples(std::string_view route, std::string_view upstream,
                                             Instant now) const;
    [[nodiscard]] std::optional<double> quantileMs(std::string_view route, std::string_view upstream,
                                                   std::size_t minSamples, Instant now) const;
    [[nodiscard]] static bool areSlow(const RecentAnswers &answers, std::size_t overdue, std::size_t minimum,
                                      Instant now);
    void addSample(const AttemptPlace &place, Instant elapsed, Instant now);
    /// Drops what is known of upstreams and routes that have had no answers for `SampleLifetime`.
    void dropExpired(Instant now);

    double m_ratio = 0;
    Instant m_droppedAt{};
    /// Times in milliseconds by route and upstream; those of the route's upstreams that are not slow have an
    /// empty upstream.
    std::map<std::pair<std::string, std::string>, Series, PairLess> m_times;
    std::map<std::string, RecentAnswers, std::less<>> m_recentByUpstream;
    std::map<std::string, RecentAnswers, std::less<>> m_recentByService;
    /// Number of attempts that wait longer than the delay, by service.
    std::map<std::string, std::size_t, std::less<>> m_overdue;
    /// Extra attempts earned and not used, by service and account.
    std::map<std::pair<std::string, std::string>, double, PairLess> m_earned;
};

} // namespace chestnutsill
