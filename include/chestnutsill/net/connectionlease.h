#pragma once

#include "chestnutsill/policy/memorybudget.h"

#include <cstddef>
#include <memory>

namespace chestnutsill {

class ConnectionBudget;

/// The place of one connection in a `ConnectionBudget`, until its destructor.
class ConnectionLease
{
public:
    ConnectionLease(std::shared_ptr<ConnectionBudget> budget, MemoryBudget::Holder holder);
    ~ConnectionLease();

    ConnectionLease(const ConnectionLease &) = delete;
    ConnectionLease &operator=(const ConnectionLease &) = delete;

    /// Sets the memory that the connection holds. Returns false if it is refused.
    [[nodiscard]] bool resize(std::size_t bytes);
    void setPhase(MemoryBudget::Phase phase);

private:
    const std::shared_ptr<ConnectionBudget> m_budget;
    const MemoryBudget::Holder m_holder;
};

} // namespace chestnutsill
