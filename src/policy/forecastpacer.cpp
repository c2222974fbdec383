#include "chestnutsill/policy/forecastpacer.h"

#include <algorithm>

namespace chestnutsill {

namespace {

double monthlyTokens(const RequestClass &item)
{
    return static_cast<double>(item.monthlyRequests) * static_cast<double>(item.tokensPerRequest);
}

} // namespace

ForecastPacer::Bucket &ForecastPacer::refill(const RequestClass &item, std::size_t instances, Instant now)
{
    using Seconds = std::chrono::duration<double>;
    const double perSecond = monthlyTokens(item) / Seconds(Month).count()
                             / static_cast<double>(std::max<std::size_t>(instances, 1));
    const double most = perSecond * Seconds(Burst).count();
    const auto [found, isNew] = m_buckets.try_emplace(item.name, Bucket{most, now});
    Bucket &bucket = found->second;
    bucket.tokens = std::min(bucket.tokens + perSecond * Seconds(now - bucket.filledAt).count(), most);
    bucket.filledAt = now;
    return bucket;
}

void ForecastPacer::recordUse(const RequestClass &item, std::size_t instances, double tokens, Instant now)
{
    if (monthlyTokens(item) > 0)
        refill(item, instances, now).tokens -= tokens;
}

bool ForecastPacer::isOverForecast(const RequestClass &item, std::size_t instances, Instant now)
{
    return monthlyTokens(item) > 0 && refill(item, instances, now).tokens < 0;
}

} // namespace chestnutsill
