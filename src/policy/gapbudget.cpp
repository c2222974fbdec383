#include "chestnutsill/policy/gapbudget.h"

#include "chestnutsill/policy/upstreamselection.h"

#include <algorithm>

namespace chestnutsill {

namespace {

/// Part of the time until its target that a request may spend for others. The rest allows for the error of
/// the forecast.
constexpr double BearableShare = 0.75;

/// Cost of missing the gap target of the request itself: twice what keeps gap-sensitive streams away from
/// engines that prefill long prompts, so that they go there before they miss it for certain.
constexpr double MissedTargetPenaltyMs = 1000;

/// Whether the gaps at an engine concern the request or a stream that runs there.
bool concerns(const GapBudget &budget, const UpstreamCandidate &candidate) noexcept
{
    return budget.targetMs > 0 && (budget.gapSensitive || candidate.gapSensitive > 0);
}

} // namespace

double gapPenaltyMs(const GapBudget &budget, const UpstreamCandidate &candidate, double tokensToPrefill,
                    const ServiceTimeModel &timeModel) noexcept
{
    if (!concerns(budget, candidate))
        return 0;
    const double gapMs = (candidate.tokensToPrefill + std::max(tokensToPrefill, 0.0))
                         / timeModel.prefillTokensPerMs / candidate.speed;
    const double share = std::min(gapMs / budget.targetMs, 1.0);
    if (!budget.gapSensitive)
        return candidate.gapSensitive * budget.maxPenaltyMs * share;
    return MissedTargetPenaltyMs * std::max((share - GapBudget::FreeShare) / (1 - GapBudget::FreeShare), 0.0);
}

double bearableWaitMs(double firstEventTargetMs, double prefillMs) noexcept
{
    return BearableShare * std::max(firstEventTargetMs - prefillMs, 0.0);
}

} // namespace chestnutsill
