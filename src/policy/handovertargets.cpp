#include "chestnutsill/policy/handovertargets.h"

#include "chestnutsill/policy/hash.h"

#include <utility>

namespace chestnutsill {

std::optional<InstanceStatus> HandOverTargets::choose(std::span<const InstanceStatus> alive,
                                                      std::string_view service, std::uint64_t key,
                                                      Instant now) const
{
    const InstanceStatus *first = nullptr;
    const InstanceStatus *second = nullptr;
    std::uint64_t firstRank = 0;
    std::uint64_t secondRank = 0;
    for (const InstanceStatus &peer : alive) {
        const auto unable = m_unableUntil.find({peer.name, std::string(service)});
        if (!peer.serving || (unable != m_unableUntil.end() && now < unable->second))
            continue;
        const std::uint64_t rank = stableHash(peer.name, key);
        if (first == nullptr || rank > firstRank) {
            second = std::exchange(first, &peer);
            secondRank = std::exchange(firstRank, rank);
        } else if (second == nullptr || rank > secondRank) {
            second = &peer;
            secondRank = rank;
        }
    }
    if (first == nullptr)
        return std::nullopt;
    return second != nullptr && inProgress(second->name) < inProgress(first->name) ? *second : *first;
}

void HandOverTargets::recordStart(const std::string &peer)
{
    ++m_inProgress[peer];
}

void HandOverTargets::recordEnd(const std::string &peer)
{
    if (const auto found = m_inProgress.find(peer); found != m_inProgress.end() && --found->second <= 0)
        m_inProgress.erase(found);
}

void HandOverTargets::recordUnable(const std::string &peer, std::string_view service, Instant now)
{
    m_unableUntil[{peer, std::string(service)}] = now + UnableTime;
}

void HandOverTargets::expire(Instant now)
{
    std::erase_if(m_unableUntil, [&](const auto &item) { return item.second <= now; });
}

int HandOverTargets::inProgress(const std::string &peer) const
{
    const auto found = m_inProgress.find(peer);
    return found == m_inProgress.end() ? 0 : found->second;
}

} // namespace chestnutsill
