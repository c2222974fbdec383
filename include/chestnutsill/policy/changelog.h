#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace chestnutsill {

/// One item of the store as published, or the news that it is gone.
struct PublishedItem
{
    std::string key;
    std::string value;
    /// Revision of its last change.
    std::uint64_t revision = 0;
    bool deleted = false;
};

/// The last changes of the store that an instance has read, for peers that follow the store through it.
/// Bounded: the oldest changes go first. Not thread-safe.
class ChangeLog
{
public:
    /// Most changes kept: some seconds of the busiest time, in which a follower asks many times.
    static constexpr std::size_t MaxChanges = 2048;

    /// Starts anew after a full read at this revision.
    void restart(std::uint64_t revision);

    /// Records a change, in order of revisions, and up to where the store has been followed.
    void add(PublishedItem item);
    void advance(std::uint64_t revision);

    /// Changes after a revision; nothing when they are no longer kept.
    [[nodiscard]] std::optional<std::vector<PublishedItem>> since(std::uint64_t after) const;

    /// Revision up to which the store has been followed.
    [[nodiscard]] std::uint64_t revision() const noexcept { return m_revision; }

private:
    /// Changes up to this revision are not kept.
    std::uint64_t m_discardedUpTo = 0;
    std::uint64_t m_revision = 0;
    std::deque<PublishedItem> m_changes;
};

} // namespace chestnutsill
