#pragma once

#include <cstdint>
#include <vector>

namespace chestnutsill {

/// A part of a prompt that other prompts may share.
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// What a caller says about the size of a generation.
struct Prompt
{
    /// Parts in order; the last one belongs to the request or its session alone.
    std::vector<PromptPart> parts;
    std::uint32_t tokens = 0;
    std::uint32_t maxOutput = 0;
};

} // namespace chestnutsill
