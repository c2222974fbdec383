#include "chestnutsill/policy/poolhome.h"

#include "chestnutsill/policy/hash.h"

namespace chestnutsill {

const Member *homeOf(std::string_view pool, std::span<const Member> members) noexcept
{
    const Member *best = nullptr;
    std::uint64_t bestHash = 0;
    const std::uint64_t poolHash = stableHash(pool);
    for (const Member &member : members) {
        if (member.leaving)
            continue;
        const std::uint64_t hash = stableHash(member.name, poolHash);
        if (best == nullptr || hash > bestHash || (hash == bestHash && member.name > best->name)) {
            best = &member;
            bestHash = hash;
        }
    }
    return best;
}

void updateTerm(HomeTerm &term, bool isHome, Instant now) noexcept
{
    const bool paused = now - term.lastTick > PauseThreshold;
    if (isHome != term.isHome || paused)
        term.since = now;
    term.isHome = isHome;
    term.lastTick = now;
}

bool mayGrant(const HomeTerm &term, Instant now) noexcept
{
    return term.isHome && now - term.since >= TakeoverWait && now - term.lastTick <= PauseThreshold;
}

} // namespace chestnutsill
