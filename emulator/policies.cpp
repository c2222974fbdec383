#include "policies.h"

#include "chestnutsill/policy/hash.h"

#include <algorithm>
#include <map>

namespace chestnutsill::emulator {

namespace {

UpstreamSelection at(std::span<const UpstreamCandidate> candidates, std::size_t index, const Prompt &prompt)
{
    return {.candidate = index,
            .tokensToPrefill = std::max(prompt.tokens - candidates[index].cachedTokens, 0.0),
            .source = std::nullopt};
}

UpstreamSelection selectLeastBusy(std::span<const UpstreamCandidate> candidates, const Prompt &prompt,
                                  const ServiceTimeModel & /*speed*/, std::uint64_t seed)
{
    const std::size_t first = stableHash("first", seed) % candidates.size();
    const std::size_t second = stableHash("second", seed) % candidates.size();
    return at(candidates, candidates[first].running <= candidates[second].running ? first : second, prompt);
}

UpstreamSelection selectByHash(std::span<const UpstreamCandidate> candidates, const Prompt &prompt,
                               const ServiceTimeModel & /*speed*/, std::uint64_t seed)
{
    const std::uint64_t part = prompt.parts.size() < 2 ? seed : prompt.parts[prompt.parts.size() - 2].id;
    const auto best =
        std::max_element(candidates.begin(), candidates.end(), [&](const auto &a, const auto &b) {
            return stableHash(a.upstream, part) < stableHash(b.upstream, part);
        });
    return at(candidates, static_cast<std::size_t>(best - candidates.begin()), prompt);
}

UpstreamSelection selectAsDaemon(std::span<const UpstreamCandidate> candidates, const Prompt &prompt,
                                 const ServiceTimeModel &speed, std::uint64_t seed)
{
    return selectUpstream(candidates, prompt, speed, seed).value();
}

UpstreamSelection selectWithoutFetching(std::span<const UpstreamCandidate> candidates, const Prompt &prompt,
                                        ServiceTimeModel speed, std::uint64_t seed)
{
    speed.fetchTokensPerMs = 0;
    return selectUpstream(candidates, prompt, speed, seed).value();
}

const std::map<std::string, Policy, std::less<>> &policies()
{
    static const std::map<std::string, Policy, std::less<>> known{{"place", selectAsDaemon},
                                                                  {"stay", selectWithoutFetching},
                                                                  {"least", selectLeastBusy},
                                                                  {"hash", selectByHash}};
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
