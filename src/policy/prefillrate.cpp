#include "chestnutsill/policy/prefillrate.h"

#include <algorithm>
#include <cmath>

namespace chestnutsill {

namespace {

/// Change of the logarithm of the rate by one sample: the first step, and the smallest one, to which the
/// steps shrink in inverse proportion to the number of samples.
constexpr double FirstStep = 0.4;
constexpr double SmallestStep = 0.02;
/// Samples outside this range of tokens per millisecond are measurement errors.
constexpr double MinRate = 0.1;
constexpr double MaxRate = 10'000;

} // namespace

void PrefillRateEstimator::record(std::string_view service, double tokens, Instant elapsed)
{
    if (tokens < MinTokens || elapsed <= Instant{})
        return;
    const double rate = tokens / std::chrono::duration<double, std::milli>(elapsed).count();
    if (rate < MinRate || rate > MaxRate)
        return;
    const auto [found, isNew] = m_estimates.try_emplace(std::string(service));
    Estimate &estimate = found->second;
    if (isNew)
        estimate.logRate = std::log(InitialTokensPerMs);
    ++estimate.samples;
    // Stochastic approximation of the median: each sample moves the estimate by the same step, towards it.
    const double step = std::max(FirstStep / estimate.samples, SmallestStep);
    const double difference = std::log(rate) - estimate.logRate;
    estimate.logRate += std::clamp(difference, -step, step);
}

double PrefillRateEstimator::tokensPerMs(std::string_view service) const
{
    const auto found = m_estimates.find(service);
    return found == m_estimates.end() ? InitialTokensPerMs : std::exp(found->second.logRate);
}

std::map<std::string, double, std::less<>> PrefillRateEstimator::rates() const
{
    std::map<std::string, double, std::less<>> rates;
    for (const auto &[service, estimate] : m_estimates)
        rates.emplace(service, std::exp(estimate.logRate));
    return rates;
}

} // namespace chestnutsill
