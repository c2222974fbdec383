#include "chestnutsill/policy/upstreamload.h"

#include "chestnutsill/policy/hash.h"

#include <algorithm>

namespace chestnutsill {

void LoadTable::recordStart(std::string_view upstream, double tokens, bool gapSensitive)
{
    Load &load = m_own[std::string(upstream)];
    ++load.running;
    load.tokensToPrefill += tokens;
    load.gapSensitive += gapSensitive ? 1 : 0;
}

void LoadTable::recordPrefill(std::string_view upstream, double tokens)
{
    Load &load = m_own[std::string(upstream)];
    load.tokensToPrefill = std::max(load.tokensToPrefill - tokens, 0.0);
}

void LoadTable::recordEnd(std::string_view upstream, bool gapSensitive)
{
    const auto found = m_own.find(upstream);
    if (found == m_own.end())
        return;
    found->second.gapSensitive -= gapSensitive ? 1 : 0;
    if (--found->second.running <= 0)
        m_own.erase(found);
}

void LoadTable::mergeLoads(std::string_view peer, const std::vector<UpstreamLoad> &loads, Instant now)
{
    PeerLoad &known = m_peers[std::string(peer)];
    known.loads.clear();
    known.receivedAt = now;
    for (const UpstreamLoad &reported : loads)
        known.loads[reported.upstream] = reported.load;
    std::erase_if(m_peers, [&](const auto &item) { return now - item.second.receivedAt > PeerTimeout; });
}

Load LoadTable::total(std::string_view upstream, Instant now) const
{
    Load sum;
    if (const auto own = m_own.find(upstream); own != m_own.end())
        sum = own->second;
    const std::uint64_t hash = stableHash(upstream);
    for (const auto &[name, peer] : m_peers) {
        const auto found = peer.loads.find(hash);
        if (found == peer.loads.end() || now - peer.receivedAt > PeerTimeout)
            continue;
        sum.running += found->second.running;
        sum.tokensToPrefill += found->second.tokensToPrefill;
        sum.gapSensitive += found->second.gapSensitive;
    }
    return sum;
}

std::optional<Instant> LoadTable::peerReportAge(Instant now) const
{
    std::optional<Instant> age;
    for (const auto &[name, peer] : m_peers)
        age = std::min(age.value_or(Instant::max()), now - peer.receivedAt);
    return age;
}

std::vector<UpstreamLoad> LoadTable::localLoads() const
{
    std::vector<UpstreamLoad> loads;
    for (const auto &[upstream, load] : m_own)
        loads.push_back({stableHash(upstream), load});
    return loads;
}

Load LoadTable::own(std::string_view upstream) const
{
    const auto found = m_own.find(upstream);
    return found == m_own.end() ? Load{} : found->second;
}

std::vector<UpstreamLoad> LoadTable::sumExcluding(const std::set<std::string, std::less<>> &peers,
                                                  Instant now) const
{
    std::unordered_map<std::uint64_t, Load> sums;
    const auto add = [&](std::uint64_t upstream, const Load &load) {
        Load &sum = sums[upstream];
        sum.running += load.running;
        sum.tokensToPrefill += load.tokensToPrefill;
        sum.gapSensitive += load.gapSensitive;
    };
    for (const auto &[upstream, load] : m_own)
        add(stableHash(upstream), load);
    for (const auto &[name, peer] : m_peers) {
        if (peers.contains(name) || now - peer.receivedAt > PeerTimeout)
            continue;
        for (const auto &[upstream, load] : peer.loads)
            add(upstream, load);
    }
    std::vector<UpstreamLoad> loads;
    loads.reserve(sums.size());
    for (const auto &[upstream, load] : sums)
        loads.push_back({upstream, load});
    return loads;
}

CachedTokens PrefixCacheIndex::lookup(std::string_view upstream, const Prompt &prompt) const
{
    CachedTokens tokens;
    const auto found = m_caches.find(stableHash(upstream));
    if (found == m_caches.end())
        return tokens;
    bool allPrefilled = true;
    for (const PromptPart &part : prompt.parts) {
        const auto known = found->second.byId.find(part.id);
        if (known == found->second.byId.end())
            break;
        allPrefilled = allPrefilled && known->second->prefilled;
        tokens.cached += part.tokens;
        tokens.prefilled += allPrefilled ? part.tokens : 0;
    }
    return tokens;
}

void PrefixCacheIndex::touch(UpstreamCache &cache, std::span<const PromptPart> parts, bool prefilled)
{
    // From the last part to the first, so that later parts are evicted first: a part is of no use without
    // those before it.
    for (auto part = parts.rbegin(); part != parts.rend(); ++part) {
        if (const auto known = cache.byId.find(part->id); known != cache.byId.end()) {
            known->second->prefilled = known->second->prefilled || prefilled;
            cache.order.splice(cache.order.end(), cache.order, known->second);
            continue;
        }
        cache.byId[part->id] = cache.order.insert(cache.order.end(), {*part, prefilled});
        cache.tokens += part->tokens;
    }
    while (cache.capacity > 0 && cache.tokens > cache.capacity && !cache.order.empty()) {
        const PromptPart &oldest = cache.order.front().part;
        cache.tokens -= oldest.tokens;
        cache.byId.erase(oldest.id);
        cache.order.pop_front();
    }
}

void PrefixCacheIndex::add(std::string_view upstream, const Prompt &prompt, bool prefilled)
{
    const std::uint64_t hash = stableHash(upstream);
    UpstreamCache &cache = m_caches[hash];
    if (prompt.parts.size() >= 2) {
        // Parts that are known already are not reported again, which keeps heartbeats small.
        PrefixCacheUpdate update{hash, {prompt.parts.begin(), std::prev(prompt.parts.end())}, prefilled};
        if (!contains(cache, update))
            m_updates.add(std::move(update));
    }
    touch(cache, prompt.parts, prefilled);
}

void PrefixCacheIndex::recordSend(std::string_view upstream, const Prompt &prompt, std::uint64_t capacity)
{
    m_caches[stableHash(upstream)].capacity = capacity;
    add(upstream, prompt, false);
}

void PrefixCacheIndex::recordPrefill(std::string_view upstream, const Prompt &prompt)
{
    add(upstream, prompt, true);
}

bool PrefixCacheIndex::contains(const UpstreamCache &cache, const PrefixCacheUpdate &update)
{
    return std::all_of(update.parts.begin(), update.parts.end(), [&](const PromptPart &part) {
        const auto cached = cache.byId.find(part.id);
        return cached != cache.byId.end() && (cached->second->prefilled || !update.prefilled);
    });
}

void PrefixCacheIndex::mergeUpdate(const PrefixCacheUpdate &update, bool relay)
{
    UpstreamCache &cache = m_caches[update.upstream];
    if (relay && !contains(cache, update))
        m_updates.add(update);
    touch(cache, update.parts, update.prefilled);
}

void PrefixCacheIndex::forget(std::string_view upstream)
{
    m_caches.erase(stableHash(upstream));
}

} // namespace chestnutsill
