#include "chestnutsill/policy/upstreamselection.h"

#include "chestnutsill/policy/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace chestnutsill {

namespace {

/// How much reading a shared part at another upstream counts against its time alone: at least so much, and
/// more the longer the queues are everywhere, because then it delays others.
constexpr double MinRedundantPrefillWeight = 1.5;
constexpr double MaxRedundantPrefillWeight = 8;
/// Mean queue that adds 1 to that weight, in milliseconds.
constexpr double RedundantPrefillQueueMs = 100;
/// What fetching tokens counts as against the time of reading them. Moved memory is paid for, and waiting a
/// little costs nothing while the answer is on time.
constexpr double FetchWeight = 2;
/// Time in which a fetch is set up, in milliseconds.
constexpr double FetchSetupMs = 5;
/// How much each millisecond of reading counts for every running request, whose next token it delays.
constexpr double InterferenceWeight = 0.05;
/// What a share of failures of 1 counts as, in milliseconds: more than any queue that is worth waiting for.
constexpr double FailurePenaltyMs = 3000;
/// What another availability zone counts as, in milliseconds; breaks ties in favour of traffic that stays
/// near.
constexpr double OtherZonePenaltyMs = 2;
/// What it counts as to send a pause-sensitive stream where long prompts are read, in milliseconds: about the
/// time to the first token that such streams bear.
constexpr double GapSensitivePenaltyMs = 500;
/// What it counts as to send another request where pause-sensitive streams run, in milliseconds, and how much
/// more for each request that runs there.
constexpr double OtherRequestPenaltyMs = 100;
constexpr double OtherRequestPenaltyPerRunningMs = 20;
/// Upstreams that are compared for one request, beside those that hold its shared part. With more, all
/// instances would send to the one that looked emptiest a moment ago.
constexpr std::size_t MaxSampled = 10;
/// Part of the upstreams that pause-sensitive streams go to first, and how far it grows with their number.
/// The rest is left to long prompts.
constexpr double MinGapSensitiveShare = 0.25;
constexpr double MaxGapSensitiveShare = 0.7;
/// Part of the slots in use at which it grows: with more, the prompts of the streams themselves make pauses.
constexpr double GrowthUtilization = 0.3;
/// A stream is pause-sensitive when its longest pause on time is under this many times the shortest of its
/// service.
constexpr double GapSensitiveRatio = 1.5;
/// Width of the random part of a cost, in milliseconds, so that instances with the same view don't all choose
/// alike.
constexpr double JitterMs = 1;

/// The candidate that ranks first for the last shared part of a prompt; nothing when the prompt shares none.
std::optional<std::size_t> firstRankedCandidate(std::span<const UpstreamCandidate> candidates,
                                                const Prompt &prompt)
{
    if (prompt.parts.size() < 2)
        return std::nullopt;
    const std::uint64_t part = prompt.parts[prompt.parts.size() - 2].id;
    std::optional<std::size_t> best;
    std::uint64_t bestRank = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!candidates[i].preferred)
            continue;
        const std::uint64_t rank = stableHash(candidates[i].upstream, part);
        if (!best || rank > bestRank) {
            bestRank = rank;
            best = i;
        }
    }
    return best;
}

double jitter(std::uint64_t draw)
{
    constexpr std::uint64_t Steps = 1024;
    return JitterMs * static_cast<double>(draw % Steps) / Steps;
}

/// The candidate, other than `taker`, that has read most of a prompt; among equal ones it differs from
/// request to request. Nothing when none has read any of it.
std::optional<std::size_t>
selectFetchSource(std::size_t target, std::span<const UpstreamCandidate> candidates, std::uint64_t seed)
{
    std::optional<std::size_t> best;
    const auto rank = [&](std::size_t i) {
        return std::pair(candidates[i].prefilledTokens, stableHash(candidates[i].upstream, seed));
    };
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (i != target && candidates[i].prefilledTokens > 0 && (!best || rank(i) > rank(*best)))
            best = i;
    }
    return best;
}

/// Where a prompt's shared parts lie.
struct PrefixAvailability
{
    /// The candidate that ranks first for the last shared part.
    std::optional<std::size_t> firstRanked;
    double sharedTokens = 0;
    /// Most tokens of the prompt that any candidate holds or will hold, and that any has read and others may
    /// fetch.
    double maxCachedTokens = 0;
    double maxFetchableTokens = 0;
};

PrefixAvailability prefixAvailability(std::span<const UpstreamCandidate> candidates, const Prompt &prompt,
                                      bool canFetch)
{
    PrefixAvailability availability;
    availability.firstRanked = firstRankedCandidate(candidates, prompt);
    availability.sharedTokens = sharedTokens(prompt);
    // Without fetching, the upstream that ranks first is taken to hold what no heartbeat has told of yet.
    if (!canFetch)
        availability.maxCachedTokens = availability.sharedTokens;
    for (const UpstreamCandidate &candidate : candidates) {
        availability.maxCachedTokens = std::max(availability.maxCachedTokens, candidate.cachedTokens);
        if (canFetch)
            availability.maxFetchableTokens =
                std::max(availability.maxFetchableTokens, candidate.prefilledTokens);
    }
    return availability;
}

/// What is expected of one candidate.
struct Estimate
{
    double tokensToPrefill = 0;
    double cost = 0;
};

/// Tokens that a candidate would fetch: none when reading them is as fast.
double tokensToFetch(double cached, const PrefixAvailability &availability, const ServiceTimeModel &timeModel)
{
    const double tokens = std::max(availability.maxFetchableTokens - cached, 0.0);
    const double fetchMs = FetchSetupMs + tokens / std::max(timeModel.fetchTokensPerMs, 1.0);
    return fetchMs < tokens / timeModel.prefillTokensPerMs ? tokens : 0;
}

/// How long a request waits for what its upstream has before it, in milliseconds.
double expectedWaitMs(const UpstreamCandidate &candidate, const ServiceTimeModel &timeModel)
{
    const double waitMs = candidate.tokensToPrefill / timeModel.prefillTokensPerMs
                          + candidate.running * timeModel.msPerRunningRequest;
    const int queued = candidate.running - candidate.slots + 1;
    return queued > 0 ? waitMs + queued * timeModel.msPerQueuedRequest : waitMs;
}

/// `draw` is a random number that belongs to the request and the candidate.
Estimate estimate(const UpstreamCandidate &candidate, bool isFirstRanked, const Prompt &prompt,
                  const PrefixAvailability &availability, double redundantPrefillWeight,
                  const ServiceTimeModel &timeModel, std::uint64_t draw)
{
    const bool canFetch = timeModel.fetchTokensPerMs > 0;
    const double cached = isFirstRanked && !canFetch
                              ? std::max(candidate.cachedTokens, availability.sharedTokens)
                              : candidate.cachedTokens;
    const double fetched = tokensToFetch(cached, availability, timeModel);
    const double fetchMs = fetched > 0 ? FetchSetupMs + fetched / timeModel.fetchTokensPerMs : 0;
    const double toPrefill = std::max(prompt.tokens - cached - fetched, 0.0);
    const double prefillMs = toPrefill / timeModel.prefillTokensPerMs;
    // Tokens that another upstream holds, or that the one that ranks first may be reading unknown to this
    // one.
    const double redundant =
        std::clamp(availability.maxCachedTokens - cached - fetched, 0.0, toPrefill)
        + (isFirstRanked ? 0 : std::max(availability.sharedTokens - availability.maxCachedTokens, 0.0));
    const double interferenceMs = prefillMs * candidate.running * InterferenceWeight;
    Estimate result;
    result.tokensToPrefill = std::max(prompt.tokens - candidate.cachedTokens - fetched, 0.0);
    result.cost = expectedWaitMs(candidate, timeModel) + fetchMs + prefillMs + interferenceMs
                  + redundant / timeModel.prefillTokensPerMs * (redundantPrefillWeight - 1)
                  + fetched / timeModel.prefillTokensPerMs * FetchWeight
                  + candidate.failureRate * FailurePenaltyMs + (candidate.sameZone ? 0 : OtherZonePenaltyMs)
                  + candidate.separationPenaltyMs + jitter(draw);
    return result;
}

double redundantPrefillWeightOf(std::span<const UpstreamCandidate> candidates,
                                const ServiceTimeModel &timeModel)
{
    double toPrefill = 0;
    for (const UpstreamCandidate &candidate : candidates)
        toPrefill += candidate.tokensToPrefill;
    const auto count = static_cast<double>(std::max<std::size_t>(candidates.size(), 1));
    return std::min(MinRedundantPrefillWeight
                        + toPrefill / timeModel.prefillTokensPerMs / count / RedundantPrefillQueueMs,
                    MaxRedundantPrefillWeight);
}

} // namespace

std::vector<bool> reserveForGapSensitive(std::span<const UpstreamCandidate> candidates)
{
    constexpr std::size_t MinToSeparate = 4;
    constexpr std::size_t MinMarked = 2;
    const std::size_t total = candidates.size();
    std::vector<bool> marks(total, false);
    if (total < MinToSeparate)
        return marks;
    std::vector<std::pair<std::uint64_t, std::size_t>> order;
    order.reserve(total);
    for (std::size_t i = 0; i < total; ++i)
        order.emplace_back(stableHash(candidates[i].upstream), i);
    std::sort(order.begin(), order.end());
    const auto countOf = [&](double share) {
        return static_cast<std::size_t>(std::lround(share * static_cast<double>(total)));
    };
    const std::size_t minMarked = std::clamp(countOf(MinGapSensitiveShare), MinMarked, total / 2);
    const std::size_t maxMarked = std::max(countOf(MaxGapSensitiveShare), minMarked);
    int running = 0;
    double slots = 0;
    for (std::size_t i = 0; i < maxMarked && (i < minMarked || running > GrowthUtilization * slots); ++i) {
        const UpstreamCandidate &candidate = candidates[order[i].second];
        marks[order[i].second] = true;
        running += candidate.running;
        slots += candidate.slots;
    }
    return marks;
}

bool isGapSensitive(double gapMs, double minGapMs) noexcept
{
    return gapMs < GapSensitiveRatio * minGapMs;
}

void separateByGapSensitivity(std::span<UpstreamCandidate> candidates, bool gapSensitive)
{
    const auto marks = reserveForGapSensitive(candidates);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        UpstreamCandidate &candidate = candidates[i];
        candidate.preferred = candidate.inColdStart || marks[i] == gapSensitive;
        const double penaltyMs =
            gapSensitive ? GapSensitivePenaltyMs
                         : OtherRequestPenaltyMs + OtherRequestPenaltyPerRunningMs * candidate.running;
        candidate.separationPenaltyMs = candidate.preferred ? 0 : penaltyMs;
    }
}

std::optional<UpstreamSelection> selectUpstream(std::span<const UpstreamCandidate> candidates,
                                                const Prompt &prompt, const ServiceTimeModel &timeModel,
                                                std::uint64_t seed)
{
    const PrefixAvailability availability =
        prefixAvailability(candidates, prompt, timeModel.fetchTokensPerMs > 0);
    const double redundantPrefillWeight = redundantPrefillWeightOf(candidates, timeModel);
    std::optional<UpstreamSelection> best;
    double bestCost = 0;
    const std::size_t stride = std::max<std::size_t>(candidates.size() / MaxSampled, 1);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const UpstreamCandidate &candidate = candidates[i];
        const bool isFirstRanked = availability.firstRanked == i;
        const bool hasSharedCached =
            availability.sharedTokens > 0 && candidate.cachedTokens >= availability.sharedTokens;
        const std::uint64_t draw = stableHash(candidate.upstream, seed);
        if (!isFirstRanked && !hasSharedCached && !candidate.inColdStart && draw % stride != 0
            && (best || i + 1 < candidates.size()))
            continue;
        const Estimate expected =
            estimate(candidate, isFirstRanked, prompt, availability, redundantPrefillWeight, timeModel, draw);
        if (!best || expected.cost < bestCost) {
            best = UpstreamSelection{i, expected.tokensToPrefill, std::nullopt};
            bestCost = expected.cost;
        }
    }
    // Named also when the upstream is believed to hold all, since that may have yielded to other prompts.
    if (best && timeModel.fetchTokensPerMs > 0)
        best->source = selectFetchSource(best->candidate, candidates, seed);
    return best;
}

} // namespace chestnutsill
