#pragma once

#include "chestnutsill/policy/configuration.h"
#include "chestnutsill/policy/instant.h"

#include <cstddef>
#include <map>
#include <string>

namespace chestnutsill {

/// Tells whether a class has used more tokens than its forecast allows by now, so that work beyond the
/// forecast yields to work within it. Each instance paces its equal share of the forecast with a token bucket
/// that holds `Burst` of it; nothing outlasts the process. Not thread-safe.
class ForecastPacer
{
public:
    /// Span of the forecast.
    static constexpr std::chrono::hours Month{30 * 24};
    /// Volume that may be used ahead of time.
    static constexpr std::chrono::hours Burst{4};

    /// Records tokens that a request of the class used. `instances` share the forecast.
    void recordUse(const RequestClass &requestClass, std::size_t instances, double tokens, Instant now);

    /// Whether the class is beyond its forecast. Classes without forecast tokens never are.
    [[nodiscard]] bool isOverForecast(const RequestClass &requestClass, std::size_t instances, Instant now);

private:
    struct Bucket
    {
        double tokens = 0;
        Instant filledAt{};
    };

    Bucket &refill(const RequestClass &requestClass, std::size_t instances, Instant now);

    std::map<std::string, Bucket> m_buckets;
};

} // namespace chestnutsill
