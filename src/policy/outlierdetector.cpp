#include "chestnutsill/policy/outlierdetector.h"

#include <algorithm>
#include <cmath>

namespace chestnutsill {

namespace {

/// Weight of the latest result in the failure rate.
constexpr double ResultWeight = 0.2;
/// The failure rate halves in this time without requests, so that the upstream is tried again.
constexpr milliseconds HalfLife{2000};
/// Ejection time after the first failure, and its maximum for failed connections and for responses of others.
constexpr milliseconds BaseEjectionTime{200};
constexpr milliseconds MaxUnreachableTime{2000};
constexpr milliseconds MaxReplacedTime{30'000};
/// Doublings of the ejection time that reach its maximum.
constexpr int MaxDoublings = 8;

double decayed(double rate, Instant time)
{
    return rate
           * std::exp2(-static_cast<double>(time.count()) / static_cast<double>(Instant(HalfLife).count()));
}

} // namespace

void OutlierDetector::record(std::string_view upstream, AttemptResult result, Instant now)
{
    const auto found = m_records.try_emplace(std::string(upstream)).first;
    Record &record = found->second;
    if (result == AttemptResult::Unreachable || result == AttemptResult::Replaced) {
        const int doublings = std::min(record.consecutiveFailures++, MaxDoublings);
        const milliseconds longest =
            result == AttemptResult::Unreachable ? MaxUnreachableTime : MaxReplacedTime;
        record.ejectedUntil = now + std::min<milliseconds>(BaseEjectionTime * (1 << doublings), longest);
        return;
    }
    record.consecutiveFailures = 0;
    record.ejectedUntil = {};
    if (result == AttemptResult::Refused)
        return;
    const double outcome = result == AttemptResult::Served ? 0 : 1;
    record.failureRate =
        (1 - ResultWeight) * decayed(record.failureRate, now - record.updatedAt) + ResultWeight * outcome;
    record.updatedAt = now;
}

void OutlierDetector::forgive(std::string_view upstream)
{
    if (const auto found = m_records.find(upstream); found != m_records.end()) {
        found->second.consecutiveFailures = 0;
        found->second.ejectedUntil = {};
    }
}

bool OutlierDetector::isEjected(std::string_view upstream, Instant now) const
{
    const auto found = m_records.find(upstream);
    return found != m_records.end() && now < found->second.ejectedUntil;
}

double OutlierDetector::failureRate(std::string_view upstream, Instant now) const
{
    const auto found = m_records.find(upstream);
    return found == m_records.end() ? 0 : decayed(found->second.failureRate, now - found->second.updatedAt);
}

} // namespace chestnutsill
