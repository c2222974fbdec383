#pragma once

#include <utility>
#include <vector>

namespace chestnutsill {

/// News for heartbeats, each told `TransmitCount` times because single heartbeats get lost. Not thread-safe.
template<typename News, int TransmitCount>
class GossipQueue
{
public:
    void add(News news) { m_untold.push_back({std::move(news)}); }

    /// What the next heartbeat carries.
    [[nodiscard]] std::vector<News> take()
    {
        std::vector<News> told;
        told.reserve(m_untold.size());
        for (Untold &item : m_untold) {
            told.push_back(item.news);
            --item.timesLeft;
        }
        std::erase_if(m_untold, [](const Untold &item) { return item.timesLeft <= 0; });
        return told;
    }

private:
    struct Untold
    {
        News news;
        int timesLeft = TransmitCount;
    };

    std::vector<Untold> m_untold;
};

} // namespace chestnutsill
