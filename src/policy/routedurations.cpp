#include "chestnutsill/policy/routedurations.h"

#include <algorithm>

namespace chestnutsill {

void RouteDurations::record(std::string_view route, Instant duration)
{
    auto found = m_routes.find(route);
    if (found == m_routes.end())
        found = m_routes.emplace(std::string(route), Record{}).first;
    Record &record = found->second;
    record.durations[record.count++ % Remembered] = duration;
}

std::optional<Instant> RouteDurations::longest(std::string_view route) const
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end() || found->second.count < MinSamples)
        return std::nullopt;
    // Places that have not been filled yet hold zero.
    const auto &durations = found->second.durations;
    return *std::max_element(durations.begin(), durations.end());
}

} // namespace chestnutsill
