#pragma once

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

    /// Items for the next heartbeat. Removes those that have now been taken `TransmitCount` times.
    [[nodiscard]] std::vector<Item> take()
    {
        std::vector<Item> items;
        items.reserve(m_pending.size());
        for (Pending &pending : m_pending) {
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
