#pragma once

#include <cstdint>
#include <string_view>

namespace chestnutsill {

/// A 64-bit hash of a text for distributing keys, the same in every process and build: FNV-1a with a
/// finalizer. Not resistant to deliberate collisions.
[[nodiscard]] constexpr std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0) noexcept
{
    std::uint64_t hash = 14695981039346656037ULL ^ seed;
    for (const char c : text) {
        hash ^= static_cast<unsigned char>(c);
        hash *= 1099511628211ULL;
    }
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    return hash;
}

} // namespace chestnutsill
