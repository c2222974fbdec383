#pragma once

#include "chestnutsill/clock.h"

#include <cstdint>
#include <string>

namespace chestnutsill {

/// The identity of this process.
struct Identity
{
    std::string name;
    std::string zone;
    /// Address for callers.
    std::string address;
    /// Random number drawn at start; a restart changes it.
    std::uint64_t incarnation = 0;
};

/// Returns a random number from the operating system.
[[nodiscard]] std::uint64_t randomNumber();

} // namespace chestnutsill
