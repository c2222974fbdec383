#pragma once

#include "chestnutsill/policy/instant.h"

#include <map>
#include <string>
#include <string_view>

namespace chestnutsill {

/// Learns how many prompt tokens the engines of each service prefill in a millisecond, from the time to the
/// first token of requests that had no prompt ahead of them. It follows the median of these samples, so that
/// stragglers, cold engines and prompts that were cached unexpectedly hardly move it. Not thread-safe.
class PrefillRateEstimator
{
public:
    /// Rate assumed for a service without samples.
    static constexpr double InitialTokensPerMs = 50;
    /// Prompts with fewer tokens to prefill are not sampled, because other delays would dominate.
    static constexpr double MinTokens = 1000;

    /// Records that an engine of the service delivered the first token of a request `elapsed` after it was
    /// sent, with `tokens` to prefill.
    void record(std::string_view service, double tokens, Instant elapsed);

    /// Tokens per millisecond.
    [[nodiscard]] double tokensPerMs(std::string_view service) const;

    /// Learnt rates by service.
    [[nodiscard]] std::map<std::string, double, std::less<>> rates() const;

private:
    struct Estimate
    {
        double logRate = 0;
        int samples = 0;
    };

    std::map<std::string, Estimate, std::less<>> m_estimates;
};

} // namespace chestnutsill
