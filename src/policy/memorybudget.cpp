#include "chestnutsill/policy/memorybudget.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace chestnutsill {

namespace {

/// Share of the process's memory that connections may hold, in percent. The largest hubs measured hold more
/// than half of their memory for tables and peers.
constexpr std::size_t MemoryPercent = 33;
/// Share of the process's file descriptors that connections may use, in percent. Each may need another one to
/// an upstream; the rest is for peers, the store and connections kept for reuse.
constexpr std::size_t DescriptorPercent = 40;

/// A request that is larger than the budget is granted while the others hold at most this part of it.
constexpr std::size_t AloneShare = 4;
/// What evicted connections still hold counts as free up to this part of the budget.
constexpr std::size_t ReleasingShare = 8;
/// One in this many of the connections that may be closed is closed beyond need, so that the search for them
/// is not repeated for each request.
constexpr std::size_t ExtraShare = 32;

std::size_t shareOf(std::size_t whole, std::size_t percent) noexcept
{
    constexpr std::size_t Whole = 100;
    return whole == 0 ? 0
                      : std::max<std::size_t>(whole / Whole * percent + whole % Whole * percent / Whole, 1);
}

/// What connections with this origin and size may hold together.
std::size_t limitFor(std::size_t limit, MemoryBudget::Origin origin, std::size_t bytes) noexcept
{
    if (bytes > MemoryBudget::SmallBytes)
        return limit - limit / 4;
    return origin == MemoryBudget::Origin::Caller ? limit - limit / 8 : limit;
}

} // namespace

MemoryBudgetLimits memoryBudgetLimits(std::size_t memoryBytes, std::size_t fileDescriptors) noexcept
{
    return {shareOf(memoryBytes, MemoryPercent), shareOf(fileDescriptors, DescriptorPercent)};
}

bool MemoryBudget::fits(const Entry &entry, std::size_t others, std::size_t bytes) const noexcept
{
    if (m_limits.bytes == 0)
        return true;
    const std::size_t limit = limitFor(m_limits.bytes, entry.origin, bytes);
    // Beyond twice the budget the process's memory itself would not do.
    const bool fitsAlone =
        bytes > limit && bytes <= 2 * m_limits.bytes && others <= m_limits.bytes / AloneShare;
    return others + bytes <= limit || fitsAlone;
}

std::size_t MemoryBudget::releasingBeyondSpare(std::size_t bytes) const noexcept
{
    const std::size_t spare = m_limits.bytes / ReleasingShare;
    return bytes > ClassBytes && m_releasing > spare ? m_releasing - spare : 0;
}

template<typename IsEnough>
bool MemoryBudget::makeRoom(const Entry &asking, Holder holder, std::size_t bytes, const IsEnough &isEnough,
                            Decision &decision)
{
    // Many events of one turn of the event loop may each evict others, which end only in the next turn.
    const std::size_t spare = m_limits.bytes / ReleasingShare;
    const std::size_t usable = bytes <= ClassBytes ? SIZE_MAX : spare - std::min(spare, m_releasing);
    // Larger classes first, then those that have waited longer.
    const auto rank = [](std::size_t size, Instant since) {
        return std::make_pair(-static_cast<std::int64_t>(size / ClassBytes), since);
    };
    const auto own = rank(bytes, asking.since);
    std::vector<std::pair<decltype(rank(0, Instant{})), Entries::iterator>> victims;
    std::size_t releasable = 0;
    for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry) {
        const Entry &other = entry->second;
        if (entry->first == holder || other.evicted || other.phase == Phase::Serving)
            continue;
        const auto place = rank(other.bytes, other.since);
        if (place >= own && (bytes > SmallBytes || other.since >= asking.since))
            continue;
        victims.emplace_back(place, entry);
        releasable += other.bytes;
    }
    if (!isEnough(std::min(releasable, usable), victims.size()))
        return false;
    std::sort(victims.begin(), victims.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
    std::size_t released = 0;
    std::size_t count = 0;
    std::size_t extra = victims.size() / ExtraShare;
    for (const auto &[place, victim] : victims) {
        if (isEnough(std::min(released, usable), count) && extra-- == 0)
            break;
        released += victim->second.bytes;
        ++count;
        evict(victim, decision);
    }
    return true;
}

void MemoryBudget::evict(Entries::iterator victim, Decision &decision)
{
    m_used -= victim->second.bytes;
    victim->second.releasing = victim->second.bytes;
    m_releasing += victim->second.releasing;
    victim->second.bytes = 0;
    victim->second.evicted = true;
    --m_connections;
    decision.evicted.push_back(victim->first);
}

MemoryBudget::Decision MemoryBudget::add(Holder holder, Origin origin, std::size_t bytes, Instant now)
{
    Decision decision;
    Entry entry;
    entry.origin = origin;
    entry.since = now;
    const auto hasRoom = [&, used = m_used + releasingBeyondSpare(bytes),
                          count = m_connections](std::size_t releasedBytes, std::size_t released) {
        return fits(entry, used - releasedBytes, bytes)
               && (m_limits.connections == 0
                   || count - released + 1 <= limitFor(m_limits.connections, origin, bytes));
    };
    decision.granted = hasRoom(0, 0) || makeRoom(entry, holder, bytes, hasRoom, decision);
    if (decision.granted) {
        entry.bytes = bytes;
        m_used += bytes;
        ++m_connections;
        m_entries.emplace(holder, entry);
    }
    return decision;
}

MemoryBudget::Decision MemoryBudget::resize(Holder holder, std::size_t bytes)
{
    Decision decision;
    const auto found = m_entries.find(holder);
    if (found == m_entries.end() || found->second.evicted)
        return decision;
    Entry &entry = found->second;
    const auto hasRoom = [&, others = m_used - entry.bytes
                                      + releasingBeyondSpare(bytes)](std::size_t released, std::size_t) {
        return fits(entry, others - released, bytes);
    };
    decision.granted =
        bytes <= entry.bytes || hasRoom(0, 0) || makeRoom(entry, holder, bytes, hasRoom, decision);
    if (decision.granted) {
        m_used = m_used - entry.bytes + bytes;
        entry.bytes = bytes;
    }
    return decision;
}

void MemoryBudget::setPhase(Holder holder, Phase phase, Instant now)
{
    const auto found = m_entries.find(holder);
    if (found == m_entries.end())
        return;
    found->second.phase = phase;
    found->second.since = now;
}

MemoryBudget::Decision MemoryBudget::evictOne()
{
    Decision decision;
    Entry asking;
    asking.since = Instant::max();
    decision.granted = makeRoom(
        asking, 0, 0, [](std::size_t, std::size_t connections) { return connections > 0; }, decision);
    return decision;
}

void MemoryBudget::remove(Holder holder)
{
    const auto found = m_entries.find(holder);
    if (found == m_entries.end())
        return;
    m_used -= found->second.bytes;
    m_releasing -= found->second.releasing;
    m_connections -= found->second.evicted ? 0 : 1;
    m_entries.erase(found);
}

} // namespace chestnutsill
