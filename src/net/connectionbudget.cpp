#include "chestnutsill/net/connectionbudget.h"

#include "chestnutsill/clock.h"
#include "chestnutsill/net/connectionlease.h"

#include <utility>

namespace chestnutsill {

std::unique_ptr<ConnectionLease> ConnectionBudget::open(MemoryBudget::Origin origin, std::size_t bytes,
                                                        std::function<void()> onEvict)
{
    std::unique_lock lock(m_mutex);
    const MemoryBudget::Holder holder = m_next++;
    const auto decision = m_budget.add(holder, origin, bytes, now());
    const auto evicted = takeEvicted(decision);
    if (decision.granted)
        m_onEvict.emplace(holder, std::move(onEvict));
    else
        ++m_statistics.refusedConnections;
    lock.unlock();
    for (const auto &close : evicted)
        close();
    return decision.granted ? std::make_unique<ConnectionLease>(shared_from_this(), holder) : nullptr;
}

void ConnectionBudget::recordFailedAccept()
{
    std::unique_lock lock(m_mutex);
    ++m_statistics.failedAccepts;
    const auto evicted = takeEvicted(m_budget.evictOne());
    lock.unlock();
    for (const auto &close : evicted)
        close();
}

ConnectionBudget::Statistics ConnectionBudget::statistics() const
{
    const std::lock_guard lock(m_mutex);
    Statistics statistics = m_statistics;
    statistics.usedBytes = m_budget.used();
    statistics.connections = m_budget.connections();
    return statistics;
}

std::vector<std::function<void()>> ConnectionBudget::takeEvicted(const MemoryBudget::Decision &decision)
{
    std::vector<std::function<void()>> functions;
    for (const MemoryBudget::Holder holder : decision.evicted) {
        if (auto node = m_onEvict.extract(holder); !node.empty())
            functions.push_back(std::move(node.mapped()));
    }
    m_statistics.evicted += decision.evicted.size();
    return functions;
}

bool ConnectionBudget::resize(MemoryBudget::Holder holder, std::size_t bytes)
{
    std::unique_lock lock(m_mutex);
    const auto decision = m_budget.resize(holder, bytes);
    const auto evicted = takeEvicted(decision);
    m_statistics.refusedMemory += decision.granted ? 0 : 1;
    lock.unlock();
    for (const auto &close : evicted)
        close();
    return decision.granted;
}

void ConnectionBudget::setPhase(MemoryBudget::Holder holder, MemoryBudget::Phase phase)
{
    const std::lock_guard lock(m_mutex);
    m_budget.setPhase(holder, phase, now());
}

void ConnectionBudget::remove(MemoryBudget::Holder holder)
{
    const std::lock_guard lock(m_mutex);
    m_budget.remove(holder);
    m_onEvict.erase(holder);
}

ConnectionLease::ConnectionLease(std::shared_ptr<ConnectionBudget> budget, MemoryBudget::Holder holder)
    : m_budget(std::move(budget))
    , m_holder(holder)
{}

ConnectionLease::~ConnectionLease()
{
    m_budget->remove(m_holder);
}

bool ConnectionLease::resize(std::size_t bytes)
{
    return m_budget->resize(m_holder, bytes);
}

void ConnectionLease::setPhase(MemoryBudget::Phase phase)
{
    m_budget->setPhase(m_holder, phase);
}

} // namespace chestnutsill
