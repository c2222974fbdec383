#include "daemon/memorywatch.h"

#include "chestnutsill/observe/log.h"

#include <malloc.h>

#include <algorithm>
#include <sstream>

namespace chestnutsill {

namespace {

/// Shortest time between two log lines about refusals.
constexpr seconds LogPeriod{1};
/// Shortest time between two returns of memory, each of which goes through the whole heap.
constexpr seconds ReturnPeriod{1};
/// Memory that must have been released since the last return.
constexpr std::size_t MinReturnBytes = 1 << 20;
/// Allocations from this size on, fiber stacks among them, are mapped one by one and unmapped when they are
/// freed. Setting the threshold also keeps the allocator from raising it with each large block that is freed.
constexpr int MapThresholdBytes = 65'536;

} // namespace

std::shared_ptr<ConnectionBudget> makeConnectionBudget(std::size_t memoryBytes, std::size_t fileDescriptors)
{
    if (memoryBytes == 0 && fileDescriptors == 0)
        return nullptr;
    if (memoryBytes > 0 && ::mallopt(M_MMAP_THRESHOLD, MapThresholdBytes) == 0)
        log(LogLevel::Warning, "allocator-not-set", {{"reason", "the threshold for mappings was refused"}});
    const MemoryBudgetLimits limits = memoryBudgetLimits(memoryBytes, fileDescriptors);
    log(LogLevel::Info, "memory-budget",
        {{"budgetBytes", static_cast<std::int64_t>(limits.bytes)},
         {"maxConnections", static_cast<std::int64_t>(limits.connections)}});
    return std::make_shared<ConnectionBudget>(limits);
}

MemoryWatch::MemoryWatch(std::shared_ptr<ConnectionBudget> budget)
    : m_budget(std::move(budget))
{}

void MemoryWatch::check(Instant now)
{
    if (!m_budget)
        return;
    logRefusals(now);
    if (m_budget->limits().bytes > 0)
        returnMemory(now);
}

void MemoryWatch::logRefusals(Instant now)
{
    const auto statistics = m_budget->statistics();
    const bool isUnchanged = statistics.refusedConnections == m_logged.refusedConnections
                             && statistics.refusedMemory == m_logged.refusedMemory
                             && statistics.evicted == m_logged.evicted
                             && statistics.failedAccepts == m_logged.failedAccepts;
    if (isUnchanged || now - m_loggedAt < LogPeriod)
        return;
    log(LogLevel::Warning, "memory-budget-used-up",
        {{"refusedConnections",
          static_cast<std::int64_t>(statistics.refusedConnections - m_logged.refusedConnections)},
         {"refusedMemory", static_cast<std::int64_t>(statistics.refusedMemory - m_logged.refusedMemory)},
         {"closed", static_cast<std::int64_t>(statistics.evicted - m_logged.evicted)},
         {"failedAccepts", static_cast<std::int64_t>(statistics.failedAccepts - m_logged.failedAccepts)},
         {"usedBytes", static_cast<std::int64_t>(statistics.usedBytes)},
         {"connections", static_cast<std::int64_t>(statistics.connections)}});
    m_logged = statistics;
    m_loggedAt = now;
}

void MemoryWatch::returnMemory(Instant now)
{
    const std::size_t used = m_budget->statistics().usedBytes;
    m_peakBytes = std::max(m_peakBytes, used);
    if (m_peakBytes - used < MinReturnBytes || now - m_returnedAt < ReturnPeriod)
        return;
    ::malloc_trim(0);
    m_peakBytes = used;
    m_returnedAt = now;
}

std::string MemoryWatch::exposition() const
{
    if (!m_budget)
        return {};
    const auto statistics = m_budget->statistics();
    std::ostringstream out;
    out << "chestnutsill_connection_memory_bytes " << statistics.usedBytes << '\n'
        << "chestnutsill_connection_memory_limit_bytes " << m_budget->limits().bytes << '\n'
        << "chestnutsill_connections " << statistics.connections << '\n'
        << "chestnutsill_connections_limit " << m_budget->limits().connections << '\n'
        << "chestnutsill_memory_refused_total{kind=\"connection\"} " << statistics.refusedConnections << '\n'
        << "chestnutsill_memory_refused_total{kind=\"memory\"} " << statistics.refusedMemory << '\n'
        << "chestnutsill_memory_refused_total{kind=\"closed\"} " << statistics.evicted << '\n'
        << "chestnutsill_memory_refused_total{kind=\"accept\"} " << statistics.failedAccepts << '\n';
    return out.str();
}

} // namespace chestnutsill
