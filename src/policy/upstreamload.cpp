#include "chestnutsill/policy/upstreamload.h"

#include "chestnutsill/policy/hash.h"

#include <algorithm>

namespace chestnutsill {

void LoadTable::recordStart(std::string_view upstream, double tokens)
{
    Load &load = m_own[std::string(upstream)];
    ++load.running;
    load.tokensToPrefill += tokens;
}

void LoadTable::recordPrefill(std::string_view upstream, double tokens)
{
    Load &load = m_own[std::string(upstream)];
    load.tokensToPrefill = std::max(load.tokensToPrefill - tokens, 0.0);
}

void LoadTable::recordEnd(std::string_view upstream)
{
    const auto found = m_own.find(upstream);
    if (found != m_own.end() && --found->second.running <= 0)
        m_own.erase(found);
}

void LoadTable::mergeLoads(std::string_view peer, const std::vector<UpstreamLoad> &shares, Instant now)
{
    PeerLoad &known = m_peers[std::string(peer)];
    known.loads.clear();
    known.heardAt = now;
    for (const UpstreamLoad &share : shares)
        known.loads[share.upstream] = share.load;
    std::erase_if(m_peers, [&](const auto &item) { return now - item.second.heardAt > PeerTimeout; });
}

Load LoadTable::total(std::string_view upstream, Instant now) const
{
    Load sum;
    if (const auto own = m_own.find(upstream); own != m_own.end())
        sum = own->second;
    const std::uint64_t hash = stableHash(upstream);
    for (const auto &[name, peer] : m_peers) {
        const auto found = peer.loads.find(hash);
        if (found == peer.loads.end() || now - peer.heardAt > PeerTimeout)
            continue;
        sum.running += found->second.running;
        sum.tokensToPrefill += found->second.tokensToPrefill;
    }
    return sum;
}

std::vector<UpstreamLoad> LoadTable::localLoads() const
{
    std::vector<UpstreamLoad> shares;
    for (const auto &[upstream, load] : m_own)
        shares.push_back({stableHash(upstream), load});
    return shares;
}

std::vector<UpstreamLoad> LoadTable::sumExcluding(const std::set<std::string, std::less<>> &peers,
                                                  Instant now) const
{
    std::unordered_map<std::uint64_t, Load> sums;
    const auto add = [&](std::uint64_t upstream, const Load &load) {
        Load &sum = sums[upstream];
        sum.running += load.running;
        sum.tokensToPrefill += load.tokensToPrefill;
    };
    for (const auto &[upstream, load] : m_own)
        add(stableHash(upstream), load);
    for (const auto &[name, peer] : m_peers) {
        if (peers.contains(name) || now - peer.heardAt > PeerTimeout)
            continue;
        for (const auto &[upstream, load] : peer.loads)
            add(upstream, load);
    }
    std::vector<UpstreamLoad> shares;
    shares.reserve(sums.size());
    for (const auto &[upstream, load] : sums)
        shares.push_back({upstream, load});
    return shares;
}

CachedTokens PrefixCacheIndex::lookup(std::string_view upstream, const Prompt &prompt) const
{
    CachedTokens tokens;
    const auto found = m_holdings.find(stableHash(upstream));
    if (found == m_holdings.end())
        return tokens;
    bool allRead = true;
    for (const PromptPart &part : prompt.parts) {
        const auto known = found->second.byId.find(part.id);
        if (known == found->second.byId.end())
            break;
        allRead = allRead && known->second->read;
        tokens.cached += part.tokens;
        tokens.prefilled += allRead ? part.tokens : 0;
    }
    return tokens;
}

void PrefixCacheIndex::put(Holding &holding, std::span<const PromptPart> parts, bool read)
{
    // From the last part to the first, since a part is of no use once one before it has gone.
    for (auto part = parts.rbegin(); part != parts.rend(); ++part) {
        if (const auto known = holding.byId.find(part->id); known != holding.byId.end()) {
            known->second->read = known->second->read || read;
            holding.order.splice(holding.order.end(), holding.order, known->second);
            continue;
        }
        holding.byId[part->id] = holding.order.insert(holding.order.end(), {*part, read});
        holding.tokens += part->tokens;
    }
    while (holding.capacity > 0 && holding.tokens > holding.capacity && !holding.order.empty()) {
        const PromptPart &oldest = holding.order.front().part;
        holding.tokens -= oldest.tokens;
        holding.byId.erase(oldest.id);
        holding.order.pop_front();
    }
}

void PrefixCacheIndex::record(std::string_view upstream, const Prompt &prompt, bool read)
{
    const std::uint64_t hash = stableHash(upstream);
    Holding &holding = m_holdings[hash];
    if (prompt.parts.size() >= 2) {
        // Copies that are known already are no news, which keeps heartbeats small.
        PrefixCacheUpdate copy{hash, {prompt.parts.begin(), std::prev(prompt.parts.end())}, read};
        if (!holds(holding, copy))
            m_news.add(std::move(copy));
    }
    put(holding, prompt.parts, read);
}

void PrefixCacheIndex::recordSend(std::string_view upstream, const Prompt &prompt, std::uint64_t capacity)
{
    m_holdings[stableHash(upstream)].capacity = capacity;
    record(upstream, prompt, false);
}

void PrefixCacheIndex::recordPrefill(std::string_view upstream, const Prompt &prompt)
{
    record(upstream, prompt, true);
}

bool PrefixCacheIndex::holds(const Holding &holding, const PrefixCacheUpdate &copy)
{
    return std::all_of(copy.parts.begin(), copy.parts.end(), [&](const PromptPart &part) {
        const auto held = holding.byId.find(part.id);
        return held != holding.byId.end() && (held->second->read || !copy.prefilled);
    });
}

void PrefixCacheIndex::mergeUpdate(const PrefixCacheUpdate &copy, bool tellOn)
{
    Holding &holding = m_holdings[copy.upstream];
    if (tellOn && !holds(holding, copy))
        m_news.add(copy);
    put(holding, copy.parts, copy.prefilled);
}

void PrefixCacheIndex::forget(std::string_view upstream)
{
    m_holdings.erase(stableHash(upstream));
}

} // namespace chestnutsill
