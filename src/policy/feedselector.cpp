#include "chestnutsill/policy/feedselector.h"

#include <algorithm>

namespace chestnutsill {

milliseconds storePollDuration(Instant confirmationAge, milliseconds longest) noexcept
{
    /// Time for the response to reach the instance and for its followers to fetch it.
    constexpr milliseconds Margin{700};
    constexpr milliseconds Shortest{200};
    const auto age = std::chrono::ceil<milliseconds>(confirmationAge);
    return std::clamp(MaxFeedAge - Margin - age, std::min(Shortest, longest), longest);
}

bool FeedSelector::isUsable(const std::string &address, Instant now) const
{
    const auto known = m_peers.find(address);
    return known == m_peers.end() || now >= known->second.backoffUntil;
}

std::string FeedSelector::firstUsablePeer(const FeedCandidates &candidates, Instant now) const
{
    for (const std::string &address : candidates.addresses) {
        if (isUsable(address, now))
            return address;
    }
    return {};
}

std::string FeedSelector::bestStalePeer(const FeedCandidates &candidates) const
{
    std::string best;
    Instant bestConfirmedAt{};
    for (const std::string &address : candidates.addresses) {
        const auto known = m_peers.find(address);
        if (known == m_peers.end() || !known->second.isStale)
            continue;
        if (best.empty() || known->second.confirmedAt > bestConfirmedAt + StaleMargin) {
            best = address;
            bestConfirmedAt = known->second.confirmedAt;
        }
    }
    return best;
}

FeedSource FeedSelector::select(const FeedCandidates &candidates, Instant now) const
{
    if (candidates.isHub && now >= m_storeBackoffUntil)
        return {};
    if (std::string peer = firstUsablePeer(candidates, now); !peer.empty())
        return {std::move(peer), false};
    if (candidates.isHub || candidates.isDeputy)
        return {};
    std::string peer = bestStalePeer(candidates);
    const bool acceptsStale = !peer.empty();
    return {std::move(peer), acceptsStale};
}

FeedSource FeedSelector::selectFirst(const FeedCandidates &candidates, Instant startedAt, Instant now) const
{
    const FeedSource source = select(candidates, now);
    const bool mayWait = now - startedAt < MaxSnapshotWait && !source.acceptsStale;
    return mayWait || now < m_storeBackoffUntil ? source : FeedSource{};
}

bool FeedSelector::hasUsablePeer(const FeedCandidates &candidates, Instant now) const
{
    return !firstUsablePeer(candidates, now).empty();
}

void FeedSelector::recordPeerFailure(std::string_view address, Instant now)
{
    std::erase_if(m_peers, [&](const auto &item) { return now >= item.second.backoffUntil; });
    m_peers.insert_or_assign(std::string(address), PeerState{now + FailureBackoff, false, {}});
}

void FeedSelector::recordStalePeer(std::string_view address, std::optional<Instant> confirmedAt, Instant now)
{
    const auto known = m_peers.find(address);
    // A peer that this instance stays with is not passed over for longer than after its first stale answer.
    const bool inBackoff =
        known != m_peers.end() && known->second.isStale && now < known->second.backoffUntil;
    const Instant backoffUntil = inBackoff ? known->second.backoffUntil : now + FailureBackoff;
    m_peers.insert_or_assign(std::string(address),
                             PeerState{backoffUntil, true, confirmedAt.value_or(Instant{})});
}

void FeedSelector::recordFreshPeer(std::string_view address)
{
    if (const auto known = m_peers.find(address); known != m_peers.end())
        m_peers.erase(known);
}

void FeedSelector::recordStoreFailure(Instant now) noexcept
{
    m_storeBackoffUntil = now + FailureBackoff;
    ++m_storeFailures;
}

milliseconds FeedSelector::storeRetryDelay(const FeedCandidates &candidates,
                                           double randomFraction) const noexcept
{
    constexpr int MaxDoublings = 3;
    const int doublings = std::clamp(m_storeFailures - 1, 0, MaxDoublings);
    const milliseconds longest = candidates.empty() ? MaxSmallClusterRetryDelay : MaxStoreRetryDelay;
    const auto delay = std::min<milliseconds>(MinStoreRetryDelay * (1 << doublings), longest);
    const double scale = 0.5 + 0.5 * std::clamp(randomFraction, 0.0, 1.0);
    return milliseconds(static_cast<milliseconds::rep>(static_cast<double>(delay.count()) * scale));
}

} // namespace chestnutsill
