#include "chestnutsill/policy/streamorigins.h"

#include "chestnutsill/policy/hash.h"

namespace chestnutsill {

std::uint64_t streamKeyOf(std::string_view account, std::string_view attemptId) noexcept
{
    return stableHash(attemptId, stableHash(account));
}

void StreamOrigins::record(std::uint64_t stream, const StreamOrigin &origin, Instant now)
{
    expire(now);
    const auto found = m_byStream.find(stream);
    if (found == m_byStream.end()) {
        if (m_records.size() >= MaxStreams)
            dropOldest();
        m_records.push_back({stream, origin, false, now});
        m_byStream.emplace(stream, std::prev(m_records.end()));
        return;
    }
    Record &known = *found->second;
    known.isAmbiguous = known.isAmbiguous || known.origin != origin;
    known.recordedAt = now;
    m_records.splice(m_records.end(), m_records, found->second);
}

std::optional<StreamOrigin> StreamOrigins::find(std::uint64_t stream, Instant now) const
{
    const auto found = m_byStream.find(stream);
    if (found == m_byStream.end())
        return std::nullopt;
    const Record &known = *found->second;
    if (known.isAmbiguous || now - known.recordedAt > Retention)
        return std::nullopt;
    return known.origin;
}

void StreamOrigins::expire(Instant now)
{
    while (!m_records.empty() && now - m_records.front().recordedAt > Retention)
        dropOldest();
}

void StreamOrigins::dropOldest()
{
    m_byStream.erase(m_records.front().stream);
    m_records.pop_front();
}

} // namespace chestnutsill
