#include "chestnutsill/policy/rankdemand.h"

#include <algorithm>

namespace chestnutsill {

namespace {

std::size_t indexOf(int rank) noexcept
{
    return static_cast<std::size_t>(std::clamp(rank, 0, static_cast<int>(RankDemand::RankCount) - 1));
}

} // namespace

void RankDemand::record(std::string_view service, int rank, Instant now)
{
    auto found = m_lastRequests.find(service);
    if (found == m_lastRequests.end())
        found = m_lastRequests.try_emplace(std::string(service)).first;
    found->second[indexOf(rank)] = now;
}

bool RankDemand::isMostUrgent(std::string_view service, int rank, Instant now) const
{
    const auto found = m_lastRequests.find(service);
    if (found == m_lastRequests.end())
        return true;
    const auto &times = found->second;
    return std::none_of(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(indexOf(rank)),
                        [&](const auto &time) { return time && now - *time <= Memory; });
}

} // namespace chestnutsill
