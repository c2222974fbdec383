#include "chestnutsill/policy/silencedetector.h"

namespace chestnutsill {

void SilenceDetector::recordSend(std::string_view upstream, Instant now)
{
    Record &record = m_records[std::string(upstream)];
    if (record.inProgress++ == 0)
        record.silentSince = now;
}

void SilenceDetector::recordBytes(std::string_view upstream, Instant now)
{
    const auto found = m_records.find(upstream);
    if (found != m_records.end())
        found->second.silentSince = now;
}

void SilenceDetector::recordEnd(std::string_view upstream)
{
    const auto found = m_records.find(upstream);
    if (found != m_records.end() && --found->second.inProgress <= 0)
        m_records.erase(found);
}

Instant SilenceDetector::silence(std::string_view upstream, Instant now) const
{
    const auto found = m_records.find(upstream);
    return found == m_records.end() ? Instant{} : now - found->second.silentSince;
}

} // namespace chestnutsill
