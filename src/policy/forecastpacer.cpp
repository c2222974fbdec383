#include "chestnutsill/policy/forecastpacer.h"

#include <algorithm>

namespace chestnutsill {

namespace {

double monthlyTokens(const RequestClass &requestClass)
{
    return static_cast<double>(requestClass.monthlyRequests)
           * static_cast<double>(requestClass.tokensPerRequest);
}

} // namespace

ForecastPacer::Bucket &ForecastPacer::refill(const RequestClass &requestClass, std::size_t instances,
                                             Instant now)
{
    using Seconds = std::chrono::duration<double>;
    const double perSecond = monthlyTokens(requestClass) / Seconds(Month).count()
                             / static_cast<double>(std::max<std::size_t>(instances, 1));
    const double capacity = perSecond * Seconds(Burst).count();
    const auto [found, isNew] = m_buckets.try_emplace(requestClass.name, Bucket{capacity, now});
    Bucket &bucket = found->second;
    bucket.tokens = std::min(bucket.tokens + perSecond * Seconds(now - bucket.filledAt).count(), capacity);
    bucket.filledAt = now;
    return bucket;
}

void ForecastPacer::recordUse(const RequestClass &requestClass, std::size_t instances, double tokens,
                              Instant now)
{
    if (monthlyTokens(requestClass) > 0)
        refill(requestClass, instances, now).tokens -= tokens;
}

bool ForecastPacer::isOverForecast(const RequestClass &requestClass, std::size_t instances, Instant now)
{
    return monthlyTokens(requestClass) > 0 && refill(requestClass, instances, now).tokens < 0;
}

} // namespace chestnutsill
