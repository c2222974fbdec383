#pragma once

#include "chestnutsill/policy/instant.h"

#include <map>
#include <string>
#include <string_view>

namespace chestnutsill {

/// Decides at the arrival of a streaming request whether it is too late to start it. Answers overload: once
/// the queues of the engines are longer than the callers wait, every request that is still accepted is
/// prefilled, streamed in part and cut at its deadline, and that engine time is lost for those that could
/// have been served.
///
/// The expected time to the first token knows nothing of priorities at the engine, of steps shared with other
/// streams and of requests that peers have sent meanwhile. So the estimator learns by route the median of the
/// actual time as a multiple of the expected one, and of the time from the first token to the end. Only
/// requests that are expected to use a large part of their time are counted and refused. Not thread-safe.
class DeadlineEstimator
{
public:
    /// A request is never refused if its first token is expected within this share of its time.
    static constexpr double AlwaysAccepted = 0.25;
    /// Share of the time until the deadline in which a request must be expected to be complete.
    static constexpr double UsableShare = 0.95;
    /// Share of the requests that are too late which are accepted all the same, so that no route starves and
    /// the estimator learns when the load has gone.
    static constexpr double ProbeShare = 0.03;

    /// What has been learnt about a route.
    struct RouteModel
    {
        /// Time to the first token as a multiple of the expected one.
        double firstTokenRatio = 1;
        /// Time from the first token to the end of the stream.
        milliseconds streamTime{};
    };

    /// Records that the first token of a request came after `actual`, or that none had come by then, where
    /// `expected` was expected and `timeLeft` was the time until its deadline.
    void recordFirstToken(std::string_view route, Instant expected, Instant actual, Instant timeLeft);

    /// Records that a stream has ended `duration` after its first token.
    void recordStream(std::string_view route, Instant duration);

    /// Whether a request whose first token is expected after `expected` should be refused, with a deadline
    /// that is `timeLeft` away. `draw` is a pseudo-random number from 0 to 1.
    [[nodiscard]] bool isTooLate(std::string_view route, Instant expected, Instant timeLeft,
                                 double draw) const;

    /// Models by route.
    [[nodiscard]] std::map<std::string, RouteModel, std::less<>> models() const;

private:
    struct Record
    {
        double logRatio = 0;
        int ratioSamples = 0;
        double logStreamMs = 0;
        int streamSamples = 0;
    };

    [[nodiscard]] static RouteModel modelOf(const Record &record);

    std::map<std::string, Record, std::less<>> m_routes;
};

/// When a caller whose request was refused for lack of capacity should send it again: `spread`, from 0 to 1,
/// distributes the callers over the part of the remaining time in which an answer can still be in time.
[[nodiscard]] milliseconds retryDelay(Instant timeLeft, double spread) noexcept;

} // namespace chestnutsill
