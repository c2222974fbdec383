#pragma once

#include "chestnutsill/policy/instant.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace chestnutsill {

/// Bounds on how many requests all instances together may send a second time to one service.
struct RetryLimits
{
    /// Repeats for each request in a window.
    double ratio = 0.2;
    /// Repeats in a window beside those.
    double slack = 0;
    /// Length of the sliding window.
    milliseconds window{10000};
};

/// One instance's share of the repeats that all instances may send. It spends a part of what its own requests
/// recordRequest and its share of the slack, and needs no answer from anybody. Not thread-safe.
class WindowedRetryBudget
{
public:
    /// Part of the bound that is spent; the rest is for instances whose views of the fleet differ and for
    /// windows that are counted elsewhere with a shift.
    static constexpr double UsedFraction = 0.6;

    explicit WindowedRetryBudget(RetryLimits limits)
        : m_limits(limits)
    {}

    /// Records a request that is sent for the first time.
    void recordRequest(std::string_view service, Instant now);

    /// Takes one repeat. Returns false when this instance's share is used up.
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
