#pragma once

#include "policies.h"
#include "scenario.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chestnutsill::emulator {

/// Result for the callers of one class.
struct ClassResult
{
    std::string name;
    std::size_t offered = 0;
    /// Complete responses that met the targets for the first event and the gaps, and other complete
    /// responses.
    std::size_t onTime = 0;
    std::size_t late = 0;
    /// Times to the first event in milliseconds, of all responses that started.
    std::vector<double> firstMs;
    /// Attainable and earned credit of all requests. The attainable credit of a request is the worth of its
    /// class, scaled by the size of the request.
    double attainable = 0;
    double earned = 0;
};

/// Result of one simulation run.
struct Result
{
    std::vector<ClassResult> classes;
    /// Prompt tokens that engines prefilled, and tokens of shared parts among them that some engine had
    /// prefilled before.
    double tokensPrefilled = 0;
    double sharedTokensRecomputed = 0;
    /// Cached tokens that engines fetched from each other.
    double fetched = 0;
    std::size_t preempted = 0;

    /// Earned credit as a fraction of the attainable credit.
    [[nodiscard]] double worth() const noexcept;
};

/// Simulates a scenario with instances that select upstreams by `policy`, each from its own view of their
/// load. The same seed yields the same arrivals and sizes for every policy.
[[nodiscard]] Result simulate(const Scenario &scenario, const Policy &policy, std::uint64_t seed);

} // namespace chestnutsill::emulator
