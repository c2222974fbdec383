#include "chestnutsill/net/connectionpool.h"

namespace chestnutsill {

std::unique_ptr<HttpClient> ConnectionPool::take(std::string_view upstream, Instant now)
{
    const auto found = m_kept.find(upstream);
    if (found == m_kept.end())
        return nullptr;
    auto &connections = found->second;
    while (!connections.empty()) {
        Kept kept = std::move(connections.back());
        connections.pop_back();
        if (now < kept.until && kept.client->isIdle())
            return std::move(kept.client);
    }
    return nullptr;
}

void ConnectionPool::keep(std::string_view upstream, std::unique_ptr<HttpClient> client,
                          milliseconds maxIdleTime, Instant now)
{
    auto &connections = m_kept[std::string(upstream)];
    if (connections.size() < MaxKept)
        connections.push_back({std::move(client), now + maxIdleTime});
}

void ConnectionPool::close(std::string_view upstream)
{
    if (const auto found = m_kept.find(upstream); found != m_kept.end())
        m_kept.erase(found);
}

void ConnectionPool::expire(Instant now)
{
    for (auto &[upstream, connections] : m_kept)
        std::erase_if(connections, [&](const Kept &kept) { return kept.until <= now; });
    std::erase_if(m_kept, [](const auto &item) { return item.second.empty(); });
}

std::size_t ConnectionPool::size() const noexcept
{
    std::size_t size = 0;
    for (const auto &[upstream, connections] : m_kept)
        size += connections.size();
    return size;
}

} // namespace chestnutsill
