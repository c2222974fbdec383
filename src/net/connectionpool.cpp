#include "chestnutsill/net/connectionpool.h"

namespace chestnutsill {

std::unique_ptr<HttpClient> ConnectionPool::acquire(std::string_view upstream, Instant now)
{
    const auto found = m_idle.find(upstream);
    if (found == m_idle.end())
        return nullptr;
    auto &connections = found->second;
    while (!connections.empty()) {
        IdleConnection idle = std::move(connections.back());
        connections.pop_back();
        if (now < idle.expiresAt && idle.client->isIdle())
            return std::move(idle.client);
    }
    return nullptr;
}

void ConnectionPool::release(std::string_view upstream, std::unique_ptr<HttpClient> client,
                             milliseconds maxIdleTime, Instant now)
{
    auto &connections = m_idle[std::string(upstream)];
    if (connections.size() < MaxIdlePerUpstream && size() < m_maxIdle)
        connections.push_back({std::move(client), now + maxIdleTime});
}

bool ConnectionPool::has(std::string_view upstream) const
{
    const auto found = m_idle.find(upstream);
    return found != m_idle.end() && !found->second.empty();
}

void ConnectionPool::close(std::string_view upstream)
{
    if (const auto found = m_idle.find(upstream); found != m_idle.end())
        m_idle.erase(found);
}

void ConnectionPool::expire(Instant now)
{
    for (auto &[upstream, connections] : m_idle)
        std::erase_if(connections, [&](const IdleConnection &idle) { return idle.expiresAt <= now; });
    std::erase_if(m_idle, [](const auto &item) { return item.second.empty(); });
}

std::size_t ConnectionPool::size() const noexcept
{
    std::size_t size = 0;
    for (const auto &[upstream, connections] : m_idle)
        size += connections.size();
    return size;
}

} // namespace chestnutsill
