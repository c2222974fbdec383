#pragma once

#include "chestnutsill/policy/instant.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace chestnutsill {

/// Bounds of a `MemoryBudget`; 0 means no bound.
struct MemoryBudgetLimits
{
    /// Memory of all connections together, in bytes.
    std::size_t bytes = 0;
    /// Number of connections.
    std::size_t connections = 0;
};

/// Bounds for a process with this much memory and this many file descriptors, of which 0 means no bound. The
/// rest is left to the tables, the peers and the connections to upstreams.
[[nodiscard]] MemoryBudgetLimits memoryBudgetLimits(std::size_t memoryBytes,
                                                    std::size_t fileDescriptors) noexcept;

/// Decides which connections of a process may hold memory.
///
/// Load: many clients that send requests of legal size which cost many times their bytes, never end, or whose
/// answers nobody reads.
///
/// Rule: all connections together hold at most `bytes`. One that holds more than `SmallBytes` is granted
/// memory only up to three quarters of that, so that ordinary requests find room beside it, and callers only
/// up to seven eighths, so that peers and operators do. If a grant doesn't fit, connections whose request has
/// not arrived completely are closed, those that hold most first and, among those in the same class of
/// `ClassBytes`, those that have waited longest. Only those are closed that come before the one that asks in
/// this order or, if it holds at most `SmallBytes`, have waited longer; and a few more than needed, so that
/// this is rare. If that can't be enough, none is closed and the grant is refused. Connections whose request
/// is being served are never closed. A request that doesn't fit even alone is granted while the others hold
/// at most a quarter, and only one.
class MemoryBudget
{
public:
    using Holder = std::uint64_t;

    /// Ordinary requests with their answers stay below this size: 50 header lines, a prompt of 100 kB and the
    /// buffers for an upstream take 400 kB.
    static constexpr std::size_t SmallBytes = 512 << 10;
    /// Sizes that differ by less are not distinguished when choosing what to close.
    static constexpr std::size_t ClassBytes = 64 << 10;

    enum class Phase {
        /// Between requests.
        Idle,
        /// A part of a request has arrived.
        Receiving,
        /// The request is complete and may be running.
        Serving,
    };

    /// Who opened a connection.
    enum class Origin {
        Caller,
        /// A peer, an operator, or the platform.
        Internal,
    };

    struct Decision
    {
        bool granted = false;
        /// Connections to close. Their memory counts as released, up to a limit for what is larger than
        /// `ClassBytes`, because it is released only when they end.
        std::vector<Holder> evicted;
    };

    explicit MemoryBudget(MemoryBudgetLimits limits) noexcept
        : m_limits(limits)
    {}

    /// Adds a connection that holds `bytes`, unless it is refused.
    [[nodiscard]] Decision add(Holder holder, Origin origin, std::size_t bytes, Instant now);

    /// Sets the memory of a connection, unless it is refused. Less memory than before is always granted, and
    /// a connection that was evicted is refused everything.
    [[nodiscard]] Decision resize(Holder holder, std::size_t bytes);

    /// Sets the phase of a connection. Its waiting time starts anew.
    void setPhase(Holder holder, Phase phase, Instant now);

    /// Evicts the connection that comes first, because the process has run out of descriptors. The decision
    /// is granted if there is one.
    [[nodiscard]] Decision evictOne();

    void remove(Holder holder);

    [[nodiscard]] const MemoryBudgetLimits &limits() const noexcept { return m_limits; }
    /// Bytes held by all connections.
    [[nodiscard]] std::size_t used() const noexcept { return m_used; }
    /// Number of connections that were not evicted.
    [[nodiscard]] std::size_t connections() const noexcept { return m_connections; }

private:
    struct Entry
    {
        std::size_t bytes = 0;
        /// What an evicted connection held, until it is removed.
        std::size_t releasing = 0;
        Phase phase = Phase::Idle;
        Origin origin = Origin::Caller;
        Instant since{};
        bool evicted = false;
    };
    using Entries = std::map<Holder, Entry>;

    /// Whether a connection may hold `bytes` beside `others` bytes of the others.
    [[nodiscard]] bool fits(const Entry &entry, std::size_t others, std::size_t bytes) const noexcept;
    /// What evicted connections still hold and does not count as free for one that holds `bytes`.
    [[nodiscard]] std::size_t releasingBeyondSpare(std::size_t bytes) const noexcept;
    /// Evicts the fewest connections that come before the asking one and with which `isEnough`, a function of
    /// the bytes and the number of connections that are released, holds, and then a few more. Returns false
    /// and evicts none if all of them aren't enough.
    template<typename IsEnough>
    bool makeRoom(const Entry &asking, Holder holder, std::size_t bytes, const IsEnough &isEnough,
                  Decision &decision);
    void evict(Entries::iterator victim, Decision &decision);

    MemoryBudgetLimits m_limits;
    Entries m_entries;
    std::size_t m_used = 0;
    /// Bytes that evicted connections may still hold.
    std::size_t m_releasing = 0;
    std::size_t m_connections = 0;
};

} // namespace chestnutsill
