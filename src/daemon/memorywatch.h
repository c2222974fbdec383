#pragma once

#include "chestnutsill/net/connectionbudget.h"
#include "chestnutsill/policy/instant.h"

#include <cstddef>
#include <memory>
#include <string>

namespace chestnutsill {

/// Makes the memory budget of a process from its memory in bytes and its file descriptors, of which 0 means
/// no bound. Makes the allocator return memory to the system if memory is bounded. Returns nothing without
/// bounds.
[[nodiscard]] std::shared_ptr<ConnectionBudget> makeConnectionBudget(std::size_t memoryBytes,
                                                                     std::size_t fileDescriptors);

/// Logs what the memory budget refuses, and returns memory to the system after it was used.
class MemoryWatch
{
public:
    /// `budget` may be null.
    explicit MemoryWatch(std::shared_ptr<ConnectionBudget> budget);

    /// To be called every few hundred milliseconds.
    void check(Instant now);

    /// Metrics of the budget in the Prometheus text exposition format; empty without a budget.
    [[nodiscard]] std::string exposition() const;

private:
    void logRefusals(Instant now);
    void returnMemory(Instant now);

    const std::shared_ptr<ConnectionBudget> m_budget;
    ConnectionBudget::Statistics m_logged;
    Instant m_loggedAt{};
    /// Most that was held since memory was last returned, and when it was.
    std::size_t m_peakBytes = 0;
    Instant m_returnedAt{};
};

} // namespace chestnutsill
