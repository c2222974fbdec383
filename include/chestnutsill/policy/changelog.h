#pragma once

#include "chestnutsill/policy/storerevision.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chestnutsill {

/// One published item of the store, or its deletion.
struct PublishedItem
{
    std::string key;
    std::string value;
    /// Store revision of its last change, in the era of the response that holds the item.
    std::uint64_t revision = 0;
    bool deleted = false;
};

/// The items of the store as this instance has read them and their latest changes, for peers that follow the
/// store through its feed. When the log of changes is full, the oldest ones are discarded. Not thread-safe.
class ChangeLog
{
public:
    /// Maximum number of changes kept: a few seconds at the highest rate of changes, in which a follower
    /// polls many times.
    static constexpr std::size_t MaxChanges = 2048;
    /// Maximum number of bytes of their keys and values: a few tables of the maximum size. A follower that
    /// lacks older ones takes a snapshot, which is smaller than as many changes of one item.
    static constexpr std::size_t MaxChangeBytes = 4 << 20;

    /// Replaces all items by those of a full read of the store at this revision, and clears the log.
    void restart(std::vector<PublishedItem> items, StoreRevision revision);

    /// Appends a change of the same era. Changes must be added in the order of their revisions.
    void add(PublishedItem item);

    /// Records that all changes up to this revision of the same era have been added.
    void advance(std::uint64_t revision);

    /// Changes after a revision, or nothing if some of them have been discarded or it is of another era.
    [[nodiscard]] std::optional<std::vector<PublishedItem>> since(StoreRevision after) const;

    /// All items that exist at `revision()`.
    [[nodiscard]] std::vector<PublishedItem> snapshot() const;

    /// Revision up to which the store has been read.
    [[nodiscard]] StoreRevision revision() const noexcept { return m_revision; }

private:
    void discardOldest();

    /// Changes up to this revision have been discarded.
    std::uint64_t m_discardedUpTo = 0;
    StoreRevision m_revision;
    std::deque<PublishedItem> m_changes;
    std::size_t m_changeBytes = 0;
    std::map<std::string, PublishedItem, std::less<>> m_items;
};

} // namespace chestnutsill
