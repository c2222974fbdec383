#pragma once

namespace chestnutsill {

struct UpstreamCandidate;
struct ServiceTimeModel;

/// What a request may do to the gaps between the events of streams, its own and those of others. Answers
/// bursts of long prompts beside streams with short gap targets: an engine prefills prompts between the steps
/// that generate tokens, so the tokens that await prefill there widen the gaps of all streams that run on it.
///
/// The rule: the longest gap expected at an engine is the prefill time of the tokens that wait there and of
/// the new prompt, in milliseconds. For a request that is not gap-sensitive, each gap-sensitive stream that
/// runs there adds `maxPenaltyMs` times the part of the shortest gap target that this gap takes, at most 1.
/// For a gap-sensitive request the cost begins at `FreeShare` of the target and rises linearly to a fixed
/// value where the gap takes all of it.
struct GapBudget
{
    /// Share of the gap target that prefill may take without a cost for the request itself; the rest is left
    /// to the steps of the engine.
    static constexpr double FreeShare = 0.4;

    /// Smallest gap target among the routes of the service, in milliseconds; 0 if the budget doesn't apply.
    double targetMs = 0;
    /// Whether the request's own gap target is close to that.
    bool gapSensitive = false;
    /// Wait that the request bears before it is better to widen gaps, in milliseconds.
    double maxPenaltyMs = 0;
};

/// Cost of the gaps that a prompt of which `tokensToPrefill` tokens are not cached would cause at an engine,
/// in milliseconds.
[[nodiscard]] double gapPenaltyMs(const GapBudget &budget, const UpstreamCandidate &candidate,
                                  double tokensToPrefill, const ServiceTimeModel &timeModel) noexcept;

/// The wait that a request bears for the sake of others, in milliseconds: part of the time from its own
/// prefill to the target for its first event.
[[nodiscard]] double bearableWaitMs(double firstEventTargetMs, double prefillMs) noexcept;

} // namespace chestnutsill
