#include "chestnutsill/policy/changelog.h"

#include <algorithm>

namespace chestnutsill {

void ChangeLog::restart(std::uint64_t revision)
{
    m_changes.clear();
    m_discardedUpTo = revision;
    m_revision = revision;
}

void ChangeLog::add(PublishedItem item)
{
    m_revision = std::max(m_revision, item.revision);
    m_changes.push_back(std::move(item));
    if (m_changes.size() <= MaxChanges)
        return;
    m_discardedUpTo = m_changes.front().revision;
    m_changes.pop_front();
}

void ChangeLog::advance(std::uint64_t revision)
{
    m_revision = std::max(m_revision, revision);
}

std::optional<std::vector<PublishedItem>> ChangeLog::since(std::uint64_t after) const
{
    if (after < m_discardedUpTo)
        return std::nullopt;
    std::vector<PublishedItem> changes;
    for (const PublishedItem &item : m_changes) {
        if (item.revision > after)
            changes.push_back(item);
    }
    return changes;
}

} // namespace chestnutsill
