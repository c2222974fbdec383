#pragma once

#include "policies.h"
#include "scenario.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chestnutsill::emulator {

/// What callers of one class got.
struct ClassResult
{
    std::string name;
    std::size_t offered = 0;
    /// Whole answers whose first event and pauses were on time, and other whole ones.
    std::size_t onTime = 0;
    std::size_t late = 0;
    /// Times to the first event, in milliseconds, of all answers that began.
    std::vector<double> firstMs;
    /// Credit that was owed and earned.
    double owed = 0;
    double earned = 0;
};

/// What a play of a scenario came to.
struct Result
{
    std::vector<ClassResult> classes;
    /// Prompt tokens that engines read, and those of shared parts that some engine had read before.
    double tokensRead = 0;
    double sharedReadAgain = 0;
    /// Tokens that engines fetched from each other's memory.
    double fetched = 0;
    std::size_t preempted = 0;

    [[nodiscard]] double worth() const noexcept;
};

/// Plays a scenario with instances that place by `policy`, each from its own picture of the upstreams as
/// heartbeats bring it. The same seed gives the same arrivals and sizes whatever the policy.
[[nodiscard]] Result play(const Scenario &scenario, const Policy &policy, std::uint64_t seed);

} // namespace chestnutsill::emulator
