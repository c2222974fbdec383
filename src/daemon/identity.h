#pragma once

#include "chestnutsill/clock.h"

#include <cstdint>
#include <string>

namespace chestnutsill {

/// Identity of this instance in the cluster.
struct Identity
{
    std::string name;
    std::string zone;
    /// IP address and port for callers.
    std::string address;
    /// Random number drawn at start; a restart changes it.
    std::uint64_t incarnation = 0;
};

/// Returns a random 64-bit number from the operating system.
[[nodiscard]] std::uint64_t randomNumber();

} // namespace chestnutsill
