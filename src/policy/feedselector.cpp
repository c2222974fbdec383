#include "chestnutsill/policy/feedselector.h"

namespace chestnutsill {

std::string FeedSelector::firstPeer(const FeedCandidates &peers, Instant now) const
{
    for (const std::string &address : peers.addresses) {
        const auto out = m_peerOutUntil.find(address);
        if (out == m_peerOutUntil.end() || now >= out->second)
            return address;
    }
    return {};
}

std::string FeedSelector::next(const FeedCandidates &peers, Instant now) const
{
    const bool storeIsOut = now < m_storeOutUntil;
    return peers.storeFirst && !storeIsOut ? std::string() : firstPeer(peers, now);
}

bool FeedSelector::hasPeer(const FeedCandidates &peers, Instant now) const
{
    return !firstPeer(peers, now).empty();
}

void FeedSelector::peerFailed(std::string_view address, Instant now)
{
    std::erase_if(m_peerOutUntil, [&](const auto &item) { return now >= item.second; });
    m_peerOutUntil.insert_or_assign(std::string(address), now + PassOverFor);
}

} // namespace chestnutsill
