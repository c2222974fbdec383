#include "chestnutsill/policy/changelog.h"

#include <algorithm>

namespace chestnutsill {

void ChangeLog::restart(std::uint64_t at)
{
    m_changes.clear();
    m_start = at;
    m_at = at;
}

void ChangeLog::add(PublishedItem item)
{
    m_at = std::max(m_at, item.revision);
    m_changes.push_back(std::move(item));
    if (m_changes.size() <= MaxChanges)
        return;
    m_start = m_changes.front().revision;
    m_changes.pop_front();
}

void ChangeLog::advance(std::uint64_t at)
{
    m_at = std::max(m_at, at);
}

std::optional<std::vector<PublishedItem>> ChangeLog::since(std::uint64_t after) const
{
    if (after < m_start)
        return std::nullopt;
    std::vector<PublishedItem> changes;
    for (const PublishedItem &item : m_changes) {
        if (item.revision > after)
            changes.push_back(item);
    }
    return changes;
}

} // namespace chestnutsill
