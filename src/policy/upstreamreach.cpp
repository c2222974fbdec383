#include "chestnutsill/policy/upstreamreach.h"

#include <algorithm>

namespace chestnutsill {

void UpstreamReach::recordReached(std::string_view service)
{
    if (const auto found = m_records.find(service); found != m_records.end())
        m_records.erase(found);
}

void UpstreamReach::recordUnreached(std::string_view service, std::string_view upstream, Instant now)
{
    m_records[std::string(service)].unreached.insert_or_assign(std::string(upstream), now);
}

void UpstreamReach::confirm(std::string_view service)
{
    if (const auto found = m_records.find(service); found != m_records.end())
        found->second.confirmed = true;
}

bool UpstreamReach::isSuspected(std::string_view service, std::size_t usable, Instant now) const
{
    const auto found = m_records.find(service);
    if (found == m_records.end() || usable == 0)
        return false;
    const auto &unreached = found->second.unreached;
    const auto recent = std::count_if(unreached.begin(), unreached.end(), [&](const auto &item) {
        return now - item.second <= Instant(FailureLifetime);
    });
    return static_cast<std::size_t>(recent) >= std::min(MinUnreached, usable);
}

bool UpstreamReach::isCutOff(std::string_view service) const
{
    const auto found = m_records.find(service);
    return found != m_records.end() && found->second.confirmed;
}

bool UpstreamReach::isUnreached(std::string_view service, std::string_view upstream) const
{
    const auto found = m_records.find(service);
    return found != m_records.end() && found->second.unreached.contains(upstream);
}

} // namespace chestnutsill
