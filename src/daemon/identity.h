#pragma once

#include "chestnutsill/clock.h"

#include <cstdint>
#include <string>

namespace chestnutsill {

/// Who this process is.
struct Identity
{
    std::string name;
    std::string zone;
    /// Address for callers.
    std::string address;
    /// Random number drawn at start.
    std::uint64_t incarnation = 0;
};

/// A random number from the system's source.
[[nodiscard]] std::uint64_t randomNumber();

} // namespace chestnutsill
