#pragma once

#include <algorithm>
#include <cstddef>
#include <limits>
#include <utility>
#include <vector>

namespace chestnutsill {

/// Items to send to peers in heartbeats. Each item is sent `TransmitCount` times, because datagrams can be
/// lost. Not thread-safe.
template<typename Item, int TransmitCount>
class GossipQueue
{
public:
    void add(Item item) { m_pending.push_back({std::move(item)}); }

    /// At most `max` items for the next heartbeat, those first that were sent least often. Removes those that
    /// have now been taken `TransmitCount` times.
    [[nodiscard]] std::vector<Item> take(std::size_t max = std::numeric_limits<std::size_t>::max())
    {
        if (m_pending.size() > max) {
            std::stable_sort(m_pending.begin(), m_pending.end(), [](const Pending &a, const Pending &b) {
                return a.transmitsLeft > b.transmitsLeft;
            });
        }
        std::vector<Item> items;
        items.reserve(std::min(max, m_pending.size()));
        for (Pending &pending : m_pending) {
            if (items.size() == max)
                break;
            items.push_back(pending.item);
            --pending.transmitsLeft;
        }
        std::erase_if(m_pending, [](const Pending &pending) { return pending.transmitsLeft <= 0; });
        return items;
    }

private:
    struct Pending
    {
        Item item;
        int transmitsLeft = TransmitCount;
    };

    std::vector<Pending> m_pending;
};

} // namespace chestnutsill
