#include "policies.h"

#include "chestnutsill/policy/hash.h"

#include <algorithm>
#include <map>

namespace chestnutsill::emulator {

namespace {

Placement at(std::span<const PlacingCandidate> candidates, std::size_t index, const Prompt &prompt)
{
    return {index, std::max(prompt.tokens - candidates[index].cachedTokens, 0.0), std::nullopt};
}

Placement placeLeast(std::span<const PlacingCandidate> candidates, const Prompt &prompt,
                     const PlacingSpeed & /*speed*/, std::uint64_t seed)
{
    const std::size_t first = stableHash("first", seed) % candidates.size();
    const std::size_t second = stableHash("second", seed) % candidates.size();
    return at(candidates, candidates[first].running <= candidates[second].running ? first : second, prompt);
}

Placement placeByHash(std::span<const PlacingCandidate> candidates, const Prompt &prompt,
                      const PlacingSpeed & /*speed*/, std::uint64_t seed)
{
    const std::uint64_t part = prompt.parts.size() < 2 ? seed : prompt.parts[prompt.parts.size() - 2].id;
    const auto best =
        std::max_element(candidates.begin(), candidates.end(), [&](const auto &a, const auto &b) {
            return stableHash(a.upstream, part) < stableHash(b.upstream, part);
        });
    return at(candidates, static_cast<std::size_t>(best - candidates.begin()), prompt);
}

Placement placeAsProduct(std::span<const PlacingCandidate> candidates, const Prompt &prompt,
                         const PlacingSpeed &speed, std::uint64_t seed)
{
    return place(candidates, prompt, speed, seed).value();
}

Placement placeWithoutFetching(std::span<const PlacingCandidate> candidates, const Prompt &prompt,
                               PlacingSpeed speed, std::uint64_t seed)
{
    speed.fetchTokensPerMs = 0;
    return place(candidates, prompt, speed, seed).value();
}

const std::map<std::string, Policy, std::less<>> &policies()
{
    static const std::map<std::string, Policy, std::less<>> known{{"place", placeAsProduct},
                                                                  {"stay", placeWithoutFetching},
                                                                  {"least", placeLeast},
                                                                  {"hash", placeByHash}};
    return known;
}

} // namespace

std::optional<Policy> policyOf(std::string_view name)
{
    const auto found = policies().find(name);
    return found == policies().end() ? std::nullopt : std::optional(found->second);
}

std::vector<std::string> policyNames()
{
    std::vector<std::string> names;
    for (const auto &[name, policy] : policies())
        names.push_back(name);
    return names;
}

} // namespace chestnutsill::emulator
