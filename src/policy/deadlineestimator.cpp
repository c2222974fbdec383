#include "chestnutsill/policy/deadlineestimator.h"

#include <algorithm>
#include <cmath>

namespace chestnutsill {

namespace {

/// Step of a median estimate, on the logarithm of the value: the first, and the smallest, to which the steps
/// shrink in inverse proportion to the number of samples.
constexpr double FirstStep = 0.5;
constexpr double SmallestStep = 0.05;
constexpr double MinMs = 1;

double toMs(Instant time)
{
    return std::max(std::chrono::duration<double, std::milli>(time).count(), 0.0);
}

/// Moves the estimate of a logarithm's median by one sample.
void follow(double &estimate, int &samples, double sample)
{
    ++samples;
    const double step = std::max(FirstStep / samples, SmallestStep);
    estimate += std::clamp(sample - estimate, -step, step);
}

bool isConsidered(Instant expected, Instant timeLeft)
{
    return toMs(expected) >= DeadlineEstimator::AlwaysAccepted * toMs(timeLeft);
}

} // namespace

void DeadlineEstimator::recordFirstToken(std::string_view route, Instant expected, Instant actual,
                                         Instant timeLeft)
{
    if (expected <= Instant{} || !isConsidered(expected, timeLeft))
        return;
    Record &record = m_routes[std::string(route)];
    follow(record.logRatio, record.ratioSamples, std::log(std::max(toMs(actual), MinMs) / toMs(expected)));
}

void DeadlineEstimator::recordStream(std::string_view route, Instant duration)
{
    Record &record = m_routes[std::string(route)];
    const double sample = std::log(std::max(toMs(duration), MinMs));
    if (record.streamSamples == 0)
        record.logStreamMs = sample;
    follow(record.logStreamMs, record.streamSamples, sample);
}

DeadlineEstimator::RouteModel DeadlineEstimator::modelOf(const Record &record)
{
    const bool hasStream = record.streamSamples > 0;
    return {std::exp(record.logRatio),
            milliseconds(hasStream ? std::lround(std::exp(record.logStreamMs)) : 0)};
}

bool DeadlineEstimator::isTooLate(std::string_view route, Instant expected, Instant timeLeft,
                                  double draw) const
{
    if (draw < ProbeShare || !isConsidered(expected, timeLeft))
        return false;
    const auto found = m_routes.find(route);
    const RouteModel model = found == m_routes.end() ? RouteModel{} : modelOf(found->second);
    return toMs(expected) * model.firstTokenRatio + toMs(model.streamTime) > UsableShare * toMs(timeLeft);
}

std::map<std::string, DeadlineEstimator::RouteModel, std::less<>> DeadlineEstimator::models() const
{
    std::map<std::string, RouteModel, std::less<>> models;
    for (const auto &[route, record] : m_routes)
        models.emplace(route, modelOf(record));
    return models;
}

milliseconds retryDelay(Instant timeLeft, double spread) noexcept
{
    /// Share of the remaining time from which, and up to which, callers return.
    constexpr double Earliest = 0.05;
    constexpr double Latest = 0.33;
    const double share = Earliest + (Latest - Earliest) * std::clamp(spread, 0.0, 1.0);
    const double leftMs = std::chrono::duration<double, std::milli>(timeLeft).count();
    return milliseconds(std::lround(std::max(leftMs, 0.0) * share));
}

} // namespace chestnutsill
