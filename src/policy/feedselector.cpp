#include "chestnutsill/policy/feedselector.h"

namespace chestnutsill {

std::string FeedSelector::firstUsablePeer(const FeedCandidates &candidates, Instant now) const
{
    for (const std::string &address : candidates.addresses) {
        const auto backoff = m_peerBackoffUntil.find(address);
        if (backoff == m_peerBackoffUntil.end() || now >= backoff->second)
            return address;
    }
    return {};
}

std::string FeedSelector::select(const FeedCandidates &candidates, Instant now) const
{
    const bool storeInBackoff = now < m_storeBackoffUntil;
    return candidates.storeFirst && !storeInBackoff ? std::string() : firstUsablePeer(candidates, now);
}

bool FeedSelector::hasUsablePeer(const FeedCandidates &candidates, Instant now) const
{
    return !firstUsablePeer(candidates, now).empty();
}

void FeedSelector::recordPeerFailure(std::string_view address, Instant now)
{
    std::erase_if(m_peerBackoffUntil, [&](const auto &item) { return now >= item.second; });
    m_peerBackoffUntil.insert_or_assign(std::string(address), now + FailureBackoff);
}

} // namespace chestnutsill
