#pragma once

#include "chestnutsill/policy/memorybudget.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace chestnutsill {

class ConnectionLease;

/// The memory budget of all servers of a process. Thread-safe.
class ConnectionBudget : public std::enable_shared_from_this<ConnectionBudget>
{
public:
    /// Numbers since the start of the process, and what is held now.
    struct Statistics
    {
        /// Connections refused when they were opened.
        std::uint64_t refusedConnections = 0;
        /// Requests or answers that were refused more memory.
        std::uint64_t refusedMemory = 0;
        /// Connections closed in favour of others.
        std::uint64_t evicted = 0;
        /// Attempts to accept a connection that failed for lack of descriptors or memory.
        std::uint64_t failedAccepts = 0;
        std::size_t usedBytes = 0;
        std::size_t connections = 0;
    };

    explicit ConnectionBudget(MemoryBudgetLimits limits)
        : m_budget(limits)
        , m_limits(limits)
    {}

    /// Adds a connection that holds `bytes`. `onEvict` is called from any thread, at most once, if it is to
    /// be closed. Returns nothing if it is refused.
    [[nodiscard]] std::unique_ptr<ConnectionLease> open(MemoryBudget::Origin origin, std::size_t bytes,
                                                        std::function<void()> onEvict);

    /// Records that a connection can't be accepted, and closes another one.
    void recordFailedAccept();

    [[nodiscard]] const MemoryBudgetLimits &limits() const noexcept { return m_limits; }
    [[nodiscard]] Statistics statistics() const;

private:
    friend class ConnectionLease;

    /// Takes out the functions to call for the evicted connections. They are called without the lock.
    [[nodiscard]] std::vector<std::function<void()>> takeEvicted(const MemoryBudget::Decision &decision);
    [[nodiscard]] bool resize(MemoryBudget::Holder holder, std::size_t bytes);
    void setPhase(MemoryBudget::Holder holder, MemoryBudget::Phase phase);
    void remove(MemoryBudget::Holder holder);

    mutable std::mutex m_mutex;
    MemoryBudget m_budget;
    const MemoryBudgetLimits m_limits;
    Statistics m_statistics;
    std::map<MemoryBudget::Holder, std::function<void()>> m_onEvict;
    MemoryBudget::Holder m_next = 1;
};

} // namespace chestnutsill
