#pragma once

#include "chestnutsill/policy/gapbudget.h"
#include "chestnutsill/policy/prefillrate.h"
#include "chestnutsill/policy/prompt.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace chestnutsill {

/// An upstream that a request may be sent to, with its load and prefix cache as far as this instance knows
/// them.
struct UpstreamCandidate
{
    std::string_view upstream;
    /// Requests that it processes at a time, and those in progress.
    int slots = 0;
    int running = 0;
    /// Prompt tokens sent to it that await prefill.
    double tokensToPrefill = 0;
    /// Those of the running requests that are gap-sensitive streams.
    int gapSensitive = 0;
    /// Prompt tokens expected in its prefix cache by the time it starts on the prompt, and those of them
    /// that have been prefilled already, so that other engines can fetch them.
    double cachedTokens = 0;
    double prefilledTokens = 0;
    /// Failure rate of recent attempts, 0 to 1.
    double failureRate = 0;
    /// Its speed relative to the median upstream of the service, more than 0, by which all times there are
    /// divided; see `UpstreamSpeeds`.
    double speed = 1;
    /// Whether it is one of the upstreams preferred for the request; see `separateByGapSensitivity`.
    bool preferred = true;
    /// Cost added if it is not preferred, in milliseconds.
    double separationPenaltyMs = 0;
    /// Whether it is in cold start. Only a few instances may send to it then, and it stays idle if they
    /// don't, so it is compared for every request and preferred for requests of any kind.
    bool inColdStart = false;
    /// Time until a request may be sent to it, in milliseconds; more than 0 in cold start only.
    double waitMs = 0;
    /// Whether it accepts a limited rate of requests, so that sending one takes a permit.
    bool rateLimited = false;
    /// Whether it is in the availability zone of this instance.
    bool sameZone = false;
};

/// Coefficients for estimating the time to the first token at the upstreams of a service.
struct ServiceTimeModel
{
    /// Prompt tokens that an engine prefills in a millisecond; see `PrefillRateEstimator`.
    double prefillTokensPerMs = PrefillRateEstimator::InitialTokensPerMs;
    /// Delay that each running request adds to the first token of the next one, in milliseconds.
    double msPerRunningRequest = 2;
    /// Tokens that an engine fetches from another engine's prefix cache in a millisecond; 0 when it can't.
    double fetchTokensPerMs = 0;
    /// Wait for each request ahead in the queue when all slots are in use, in milliseconds.
    double msPerQueuedRequest = 30;
};

/// The upstream selected for a request.
struct UpstreamSelection
{
    std::size_t candidate = 0;
    /// Prompt tokens that it will have to prefill.
    double tokensToPrefill = 0;
    /// Expected time from sending the request to its first token, in milliseconds.
    double firstTokenMs = 0;
    /// Index of the candidate from whose prefix cache it should fetch shared parts.
    std::optional<std::size_t> source;
};

/// Reserves upstreams for gap-sensitive streams and returns for each candidate whether it is reserved: a
/// quarter, at least two, and more while those are busy. The others prefill the long prompts, which would
/// widen the inter-token gaps of those streams. The order is a hash of the ids, so that instances with equal
/// views reserve the same upstreams and the loss of one changes few. Reserves none of fewer than four.
[[nodiscard]] std::vector<bool> reserveForGapSensitive(std::span<const UpstreamCandidate> candidates,
                                                       bool countsStreams = false);

/// Whether a stream with the inter-token gap target `gapMs` is gap-sensitive: its target is close to
/// `minGapMs`, the smallest target of any stream of the service. Both in milliseconds.
[[nodiscard]] bool isGapSensitive(double gapMs, double minGapMs) noexcept;

/// Keeps gap-sensitive streams and long prompts on separate upstreams while there is room: sets which
/// candidates are preferred for a request, gap-sensitive or not, and the penalty of the others. Without a
/// `GapBudget`, the penalty for a long prompt on a reserved upstream is lower while few requests run there.
void separateByGapSensitivity(std::span<UpstreamCandidate> candidates, bool gapSensitive,
                              bool hasGapBudget = false);

/// Selects the upstream with the lowest cost: the expected time to the first token plus penalties.
/// Prefilling shared parts that another upstream has cached costs more than its time, because it also delays
/// all other requests there. Where engines can fetch parts from each other's prefix caches, a fetch replaces
/// that prefill at its own cost. A part that no upstream has cached goes to the upstream that ranks first
/// for it by rendezvous hash until that one is loaded, so that instances that don't know of each other's
/// requests yet don't have it prefilled twice. Returns nothing without candidates.
[[nodiscard]] std::optional<UpstreamSelection>
selectUpstream(std::span<const UpstreamCandidate> candidates, const Prompt &prompt,
               const ServiceTimeModel &timeModel, std::uint64_t seed, const GapBudget &gapBudget = {});

} // namespace chestnutsill
