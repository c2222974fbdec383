#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace chestnutsill {

/// A block of a prompt that other prompts may share, and that engines keep in their prefix cache.
struct PromptPart
{
    /// Identifies the part in all prompts, as the caller states it.
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// Parts and size of a generation request, as the caller states them.
struct Prompt
{
    /// Parts in order. The last one is specific to the request or its session; the others may be shared.
    std::vector<PromptPart> parts;
    /// Size of the prompt in tokens.
    std::uint32_t tokens = 0;
    /// Maximum number of tokens to generate.
    std::uint32_t maxOutput = 0;
};

/// Tokens of the parts that other prompts may share: all but the last one.
[[nodiscard]] inline double sharedTokens(const Prompt &prompt) noexcept
{
    double tokens = 0;
    for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i)
        tokens += prompt.parts[i].tokens;
    return tokens;
}

} // namespace chestnutsill
