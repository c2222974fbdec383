#include "chestnutsill/policy/windowedretrybudget.h"

#include <algorithm>

namespace chestnutsill {

void WindowedRetryBudget::dropExpired(Usage &usage, Instant now) const
{
    for (auto *times : {&usage.requests, &usage.retries}) {
        while (!times->empty() && now - times->front() > m_limits.window)
            times->pop_front();
    }
}

void WindowedRetryBudget::recordRequest(std::string_view service, Instant now)
{
    Usage &usage = m_usage[std::string(service)];
    dropExpired(usage, now);
    usage.requests.push_back(now);
}

bool WindowedRetryBudget::tryAcquire(std::string_view service, std::size_t instanceCount, Instant now)
{
    Usage &usage = m_usage[std::string(service)];
    dropExpired(usage, now);
    const double earned = m_limits.ratio * static_cast<double>(usage.requests.size());
    const double share = m_limits.slack / static_cast<double>(std::max<std::size_t>(instanceCount, 1));
    if (static_cast<double>(usage.retries.size()) + 1 > UsedFraction * (earned + share))
        return false;
    usage.retries.push_back(now);
    return true;
}

} // namespace chestnutsill
