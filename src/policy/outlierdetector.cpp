#include "chestnutsill/policy/outlierdetector.h"

#include <algorithm>
#include <cmath>

namespace chestnutsill {

namespace {

/// Weight of one result against those before it.
constexpr double ResultWeight = 0.2;
/// A share of failures halves in this time without work, so that the upstream is tried again.
constexpr milliseconds HalfLife{2000};
/// Pause after the first failed connection and the longest one.
constexpr milliseconds FirstPause{200};
constexpr milliseconds LongestPause{2000};
constexpr int MostDoublings = 4;

double decayed(double share, Instant time)
{
    return share
           * std::exp2(-static_cast<double>(time.count()) / static_cast<double>(Instant(HalfLife).count()));
}

} // namespace

void OutlierDetector::record(std::string_view upstream, AttemptResult result, Instant now)
{
    const auto found = m_records.try_emplace(std::string(upstream)).first;
    Record &record = found->second;
    if (result == AttemptResult::Unreachable) {
        const int doublings = std::min(record.unreachableInRow++, MostDoublings);
        record.outUntil = now + std::min<milliseconds>(FirstPause * (1 << doublings), LongestPause);
        return;
    }
    record.unreachableInRow = 0;
    record.outUntil = {};
    if (result == AttemptResult::Refused)
        return;
    const double outcome = result == AttemptResult::Served ? 0 : 1;
    record.failures =
        (1 - ResultWeight) * decayed(record.failures, now - record.changedAt) + ResultWeight * outcome;
    record.changedAt = now;
}

bool OutlierDetector::isEjected(std::string_view upstream, Instant now) const
{
    const auto found = m_records.find(upstream);
    return found != m_records.end() && now < found->second.outUntil;
}

double OutlierDetector::failureRate(std::string_view upstream, Instant now) const
{
    const auto found = m_records.find(upstream);
    return found == m_records.end() ? 0 : decayed(found->second.failures, now - found->second.changedAt);
}

} // namespace chestnutsill
