#pragma once

#include "chestnutsill/policy/instant.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace chestnutsill {

/// Limits on the retries that all instances together may send to one service.
struct RetryLimits
{
    /// Retries allowed in a window for each request in it.
    double ratio = 0.2;
    /// Additional retries allowed in a window.
    double slack = 0;
    /// Length of the sliding window.
    milliseconds window{10000};
};

/// The share of one instance in the retries that all instances may send. It uses a fraction of the retries
/// allowed by its own requests and of an equal share of the slack, and thus needs no coordination. Not
/// thread-safe.
class WindowedRetryBudget
{
public:
    /// Fraction of the limit that is used. The rest allows for instances with different views of the
    /// membership and for a limit that is checked elsewhere over windows shifted in time.
    static constexpr double UsedFraction = 0.6;

    explicit WindowedRetryBudget(RetryLimits limits)
        : m_limits(limits)
    {}

    /// Records the first attempt of a request.
    void recordRequest(std::string_view service, Instant now);

    /// Takes one retry from the budget. Returns false if the share of this instance is exhausted.
    /// `instanceCount` is the number of live instances, including this one.
    [[nodiscard]] bool tryAcquire(std::string_view service, std::size_t instanceCount, Instant now);

private:
    struct Usage
    {
        std::deque<Instant> requests;
        std::deque<Instant> retries;
    };

    void dropExpired(Usage &usage, Instant now) const;

    RetryLimits m_limits;
    std::map<std::string, Usage, std::less<>> m_usage;
};

} // namespace chestnutsill
