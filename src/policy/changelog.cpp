#include "chestnutsill/policy/changelog.h"

#include <algorithm>

namespace chestnutsill {

namespace {

std::size_t bytesOf(const PublishedItem &item) noexcept
{
    return item.key.size() + item.value.size();
}

} // namespace

void ChangeLog::restart(std::vector<PublishedItem> items, StoreRevision revision)
{
    m_changes.clear();
    m_changeBytes = 0;
    m_items.clear();
    for (PublishedItem &item : items) {
        std::string key = item.key;
        m_items.insert_or_assign(std::move(key), std::move(item));
    }
    m_discardedUpTo = revision.number;
    m_revision = revision;
}

void ChangeLog::add(PublishedItem item)
{
    advance(item.revision);
    if (item.deleted)
        m_items.erase(item.key);
    else
        m_items.insert_or_assign(item.key, item);
    m_changeBytes += bytesOf(item);
    m_changes.push_back(std::move(item));
    while (m_changes.size() > MaxChanges || m_changeBytes > MaxChangeBytes)
        discardOldest();
}

void ChangeLog::discardOldest()
{
    m_discardedUpTo = m_changes.front().revision;
    m_changeBytes -= bytesOf(m_changes.front());
    m_changes.pop_front();
}

void ChangeLog::advance(std::uint64_t revision)
{
    m_revision.number = std::max(m_revision.number, revision);
}

std::vector<PublishedItem> ChangeLog::snapshot() const
{
    std::vector<PublishedItem> items;
    items.reserve(m_items.size());
    for (const auto &[key, item] : m_items)
        items.push_back(item);
    return items;
}

std::optional<std::vector<PublishedItem>> ChangeLog::since(StoreRevision after) const
{
    if (after.era != m_revision.era || after.number < m_discardedUpTo)
        return std::nullopt;
    std::vector<PublishedItem> changes;
    for (const PublishedItem &item : m_changes) {
        if (item.revision > after.number)
            changes.push_back(item);
    }
    return changes;
}

} // namespace chestnutsill
