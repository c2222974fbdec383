#pragma once

#include "chestnutsill/policy/configuration.h"
#include "chestnutsill/policy/instant.h"

#include <cstddef>
#include <map>
#include <string>

namespace chestnutsill {

/// Detects request classes that use more tokens than their forecast allows, so that their requests yield to
/// those within the forecast. Each instance applies a token bucket to its equal share of the forecast; the
/// bucket holds `Burst` of it, starts full and is not persisted. Not thread-safe.
class ForecastPacer
{
public:
    /// Period of the forecast.
    static constexpr std::chrono::hours Month{30 * 24};
    /// Capacity of a bucket: the tokens that the forecast allows in this time may be used at once.
    static constexpr std::chrono::hours Burst{4};

    /// Records tokens that a request of the class used. The forecast is divided among `instances` instances.
    void recordUse(const RequestClass &requestClass, std::size_t instances, double tokens, Instant now);

    /// Whether the class has exceeded its forecast. A class with a forecast of zero tokens never does.
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
