#include "chestnutsill/policy/windowedretrybudget.h"

#include <algorithm>

namespace chestnutsill {

void WindowedRetryBudget::forget(Usage &usage, Instant now) const
{
    for (auto *times : {&usage.requests, &usage.repeats}) {
        while (!times->empty() && now - times->front() > m_bounds.window)
            times->pop_front();
    }
}

void WindowedRetryBudget::earn(std::string_view service, Instant now)
{
    Usage &usage = m_usage[std::string(service)];
    forget(usage, now);
    usage.requests.push_back(now);
}

bool WindowedRetryBudget::spend(std::string_view service, std::size_t instances, Instant now)
{
    Usage &usage = m_usage[std::string(service)];
    forget(usage, now);
    const double earned = m_bounds.ratio * static_cast<double>(usage.requests.size());
    const double share = m_bounds.slack / static_cast<double>(std::max<std::size_t>(instances, 1));
    if (static_cast<double>(usage.repeats.size()) + 1 > UsedPart * (earned + share))
        return false;
    usage.repeats.push_back(now);
    return true;
}

} // namespace chestnutsill
