#include "chestnutsill/policy/upstreamselection.h"

#include "chestnutsill/policy/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace chestnutsill {

namespace {

/// Cost of prefilling a shared part that another upstream has cached, as a multiple of the prefill time. It
/// rises from the smaller to the larger value with the mean queue of the candidates, because a redundant
/// prefill delays what is queued behind it.
constexpr double MinRedundantPrefillWeight = 1.5;
constexpr double MaxRedundantPrefillWeight = 8;
/// Mean queue that adds 1 to that multiple, in milliseconds.
constexpr double RedundantPrefillQueueMs = 100;
/// Cost of fetching tokens as a multiple of the time to prefill them. Transferred cache data is paid for,
/// whereas a short wait costs nothing while the answer is on time.
constexpr double FetchWeight = 2;
/// Time to set up a fetch, in milliseconds.
constexpr double FetchSetupMs = 5;
/// Cost of each millisecond of prefill per running request, whose next token the prefill delays.
constexpr double InterferenceWeight = 0.05;
/// Penalty for a failure rate of 1, in milliseconds: more than any queue that is worth waiting for.
constexpr double FailurePenaltyMs = 3000;
/// Penalty for another availability zone, in milliseconds; breaks ties in favour of traffic within the zone.
constexpr double OtherZonePenaltyMs = 2;
/// Penalty for a gap-sensitive stream on an upstream that prefills long prompts, in milliseconds: about the
/// time to the first token that such streams tolerate.
constexpr double GapSensitivePenaltyMs = 500;
/// Penalty for any other request on an upstream reserved for gap-sensitive streams, and its increase per
/// request running there, in milliseconds.
constexpr double OtherRequestPenaltyMs = 100;
constexpr double OtherRequestPenaltyPerRunningMs = 20;
/// Upstreams that are sampled for a request: at least this many on average, and less than twice as many.
/// Those that have its shared part cached, are in cold start or rank first are added. With more, all
/// instances would send to the one that was least loaded in the latest reports.
constexpr std::size_t SampleSize = 10;
/// Reserved upstreams that are sampled for a gap-sensitive stream, at least this many on average. A sample of
/// all upstreams often holds none of a few reserved ones.
constexpr std::size_t ReservedSampleSize = 5;
/// Smallest and largest share of the upstreams that are reserved for gap-sensitive streams; it grows with
/// the number of streams. The rest is left to long prompts.
constexpr double MinGapSensitiveShare = 0.25;
constexpr double MaxGapSensitiveShare = 0.7;
/// Utilization of the reserved upstreams' slots above which their share grows: with more, prefill of the
/// streams' own prompts widens the gaps.
constexpr double GrowthUtilization = 0.3;
/// The same for the gap-sensitive streams alone, which a `GapBudget` counts.
constexpr double GrowthStreamUtilization = 0.2;
/// Smallest share that is reserved where streams are counted, which shows in time when it is too small.
constexpr double MinCountedShare = 0.17;
/// A stream is gap-sensitive when its inter-token gap target is below this multiple of the smallest target
/// of its service.
constexpr double GapSensitiveRatio = 1.5;
/// Range of the random part of a cost, in milliseconds, so that instances with the same view don't all
/// select the same upstream.
constexpr double JitterMs = 1;

/// The preferred candidate that ranks first by rendezvous hash for the last shared part of a prompt; nothing
/// when the prompt has no shared part.
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

/// The candidate other than `target` that has prefilled the most tokens of the prompt, with ties broken by a
/// hash that differs from request to request. Nothing when no other has prefilled any.
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

/// Where a prompt's shared parts are cached.
struct PrefixAvailability
{
    /// The candidate that ranks first by rendezvous hash for the last shared part.
    std::optional<std::size_t> firstRanked;
    double sharedTokens = 0;
    /// Largest number of prompt tokens that any candidate has or will have cached, and that any has
    /// prefilled, so that others can fetch them.
    double maxCachedTokens = 0;
    double maxFetchableTokens = 0;
};

PrefixAvailability prefixAvailability(std::span<const UpstreamCandidate> candidates, const Prompt &prompt,
                                      bool canFetch)
{
    PrefixAvailability availability;
    availability.firstRanked = firstRankedCandidate(candidates, prompt);
    availability.sharedTokens = sharedTokens(prompt);
    // Without fetching, the shared parts count as cached by the upstream that ranks first: other instances
    // may have sent them there without a heartbeat having reported it yet.
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

/// Expected prefill and cost of a request at one candidate.
struct Estimate
{
    double tokensToPrefill = 0;
    double firstTokenMs = 0;
    double cost = 0;
};

/// Tokens that a candidate would fetch: 0 when prefilling them is as fast.
double tokensToFetch(double cached, double speed, const PrefixAvailability &availability,
                     const ServiceTimeModel &timeModel)
{
    const double tokens = std::max(availability.maxFetchableTokens - cached, 0.0);
    const double fetchMs = FetchSetupMs + tokens / std::max(timeModel.fetchTokensPerMs, 1.0);
    return fetchMs < tokens / timeModel.prefillTokensPerMs / speed ? tokens : 0;
}

/// Expected wait until a request may be sent and for those that the upstream received before, in
/// milliseconds.
double expectedWaitMs(const UpstreamCandidate &candidate, const ServiceTimeModel &timeModel)
{
    const double waitMs = candidate.waitMs
                          + candidate.tokensToPrefill / timeModel.prefillTokensPerMs / candidate.speed
                          + candidate.running * timeModel.msPerRunningRequest / candidate.speed;
    const int queued = candidate.running - candidate.slots + 1;
    return queued > 0 ? waitMs + queued * timeModel.msPerQueuedRequest / candidate.speed : waitMs;
}

/// Estimates the cost of a request at one candidate. `draw` is a pseudo-random number that is specific to
/// the request and the candidate.
Estimate estimate(const UpstreamCandidate &candidate, bool isFirstRanked, const Prompt &prompt,
                  const PrefixAvailability &availability, double redundantPrefillWeight,
                  const ServiceTimeModel &timeModel, const GapBudget &gapBudget, std::uint64_t draw)
{
    const bool canFetch = timeModel.fetchTokensPerMs > 0;
    const double cached = isFirstRanked && !canFetch
                              ? std::max(candidate.cachedTokens, availability.sharedTokens)
                              : candidate.cachedTokens;
    const double fetched = tokensToFetch(cached, candidate.speed, availability, timeModel);
    const double fetchMs = fetched > 0 ? FetchSetupMs + fetched / timeModel.fetchTokensPerMs : 0;
    const double toPrefill = std::max(prompt.tokens - cached - fetched, 0.0);
    const double prefillMs = toPrefill / timeModel.prefillTokensPerMs / candidate.speed;
    // Tokens that another upstream has cached, or that the one that ranks first may be prefilling for an
    // instance whose reports have not arrived yet.
    const double redundant =
        std::clamp(availability.maxCachedTokens - cached - fetched, 0.0, toPrefill)
        + (isFirstRanked ? 0 : std::max(availability.sharedTokens - availability.maxCachedTokens, 0.0));
    const double interferenceMs = prefillMs * candidate.running * InterferenceWeight;
    Estimate result;
    result.tokensToPrefill = std::max(prompt.tokens - candidate.cachedTokens - fetched, 0.0);
    result.firstTokenMs = expectedWaitMs(candidate, timeModel) + fetchMs + prefillMs;
    result.cost = result.firstTokenMs + interferenceMs
                  + redundant / timeModel.prefillTokensPerMs / candidate.speed * (redundantPrefillWeight - 1)
                  + fetched / timeModel.prefillTokensPerMs * FetchWeight
                  + candidate.failureRate * FailurePenaltyMs + (candidate.sameZone ? 0 : OtherZonePenaltyMs)
                  + candidate.separationPenaltyMs + gapPenaltyMs(gapBudget, candidate, toPrefill, timeModel)
                  + jitter(draw);
    return result;
}

/// One of this many preferred candidates is sampled for a gap-sensitive stream.
std::size_t strideOfPreferred(std::span<const UpstreamCandidate> candidates)
{
    const auto count = static_cast<std::size_t>(std::count_if(
        candidates.begin(), candidates.end(), [](const auto &candidate) { return candidate.preferred; }));
    return std::max<std::size_t>(count / ReservedSampleSize, 1);
}

double redundantPrefillWeightOf(std::span<const UpstreamCandidate> candidates,
                                const ServiceTimeModel &timeModel)
{
    double toPrefill = 0;
    for (const UpstreamCandidate &candidate : candidates)
        toPrefill += candidate.tokensToPrefill / candidate.speed;
    const auto count = static_cast<double>(std::max<std::size_t>(candidates.size(), 1));
    return std::min(MinRedundantPrefillWeight
                        + toPrefill / timeModel.prefillTokensPerMs / count / RedundantPrefillQueueMs,
                    MaxRedundantPrefillWeight);
}

} // namespace

std::vector<bool> reserveForGapSensitive(std::span<const UpstreamCandidate> candidates, bool countsStreams)
{
    constexpr std::size_t MinToSeparate = 4;
    constexpr std::size_t MinReserved = 2;
    const std::size_t total = candidates.size();
    std::vector<bool> reserved(total, false);
    if (total < MinToSeparate)
        return reserved;
    std::vector<std::pair<std::uint64_t, std::size_t>> order;
    order.reserve(total);
    for (std::size_t i = 0; i < total; ++i)
        order.emplace_back(stableHash(candidates[i].upstream), i);
    std::sort(order.begin(), order.end());
    const auto countOf = [&](double share) {
        return static_cast<std::size_t>(std::lround(share * static_cast<double>(total)));
    };
    const std::size_t minReserved =
        std::clamp(countOf(countsStreams ? MinCountedShare : MinGapSensitiveShare), MinReserved, total / 2);
    const std::size_t maxReserved = std::max(countOf(MaxGapSensitiveShare), minReserved);
    const double growth = countsStreams ? GrowthStreamUtilization : GrowthUtilization;
    int running = 0;
    double slots = 0;
    // Where streams are counted, slow engines count for less.
    double capacity = 0;
    for (std::size_t i = 0;
         i < maxReserved && (capacity < static_cast<double>(minReserved) || running > growth * slots); ++i) {
        const UpstreamCandidate &candidate = candidates[order[i].second];
        reserved[order[i].second] = true;
        running += countsStreams ? candidate.gapSensitive : candidate.running;
        const double weight = countsStreams ? candidate.speed : 1;
        slots += weight * candidate.slots;
        capacity += weight;
    }
    return reserved;
}

bool isGapSensitive(double gapMs, double minGapMs) noexcept
{
    return gapMs < GapSensitiveRatio * minGapMs;
}

void separateByGapSensitivity(std::span<UpstreamCandidate> candidates, bool gapSensitive, bool hasGapBudget)
{
    const auto reserved = reserveForGapSensitive(candidates, hasGapBudget);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        UpstreamCandidate &candidate = candidates[i];
        candidate.preferred = candidate.inColdStart || reserved[i] == gapSensitive;
        const double penaltyMs =
            gapSensitive   ? GapSensitivePenaltyMs
            : hasGapBudget ? OtherRequestPenaltyMs
                           : OtherRequestPenaltyMs + OtherRequestPenaltyPerRunningMs * candidate.running;
        candidate.separationPenaltyMs = candidate.preferred ? 0 : penaltyMs;
    }
}

std::optional<UpstreamSelection> selectUpstream(std::span<const UpstreamCandidate> candidates,
                                                const Prompt &prompt, const ServiceTimeModel &timeModel,
                                                std::uint64_t seed, const GapBudget &gapBudget)
{
    const PrefixAvailability availability =
        prefixAvailability(candidates, prompt, timeModel.fetchTokensPerMs > 0);
    const double redundantPrefillWeight = redundantPrefillWeightOf(candidates, timeModel);
    std::optional<UpstreamSelection> best;
    double bestCost = 0;
    const std::size_t stride = std::max<std::size_t>(candidates.size() / SampleSize, 1);
    const std::size_t preferredStride =
        gapBudget.targetMs > 0 && gapBudget.gapSensitive ? strideOfPreferred(candidates) : stride;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const UpstreamCandidate &candidate = candidates[i];
        const bool isFirstRanked = availability.firstRanked == i;
        const bool hasSharedCached =
            availability.sharedTokens > 0 && candidate.cachedTokens >= availability.sharedTokens;
        const std::uint64_t draw = stableHash(candidate.upstream, seed);
        if (!isFirstRanked && !hasSharedCached && !candidate.inColdStart
            && draw % (candidate.preferred ? preferredStride : stride) != 0
            && (best || i + 1 < candidates.size()))
            continue;
        const Estimate expected = estimate(candidate, isFirstRanked, prompt, availability,
                                           redundantPrefillWeight, timeModel, gapBudget, draw);
        if (!best || expected.cost < bestCost) {
            best = UpstreamSelection{i, expected.tokensToPrefill, expected.firstTokenMs, std::nullopt};
            bestCost = expected.cost;
        }
    }
    // Set even when the upstream is expected to have all parts cached, because it may have evicted some.
    if (best && timeModel.fetchTokensPerMs > 0)
        best->source = selectFetchSource(best->candidate, candidates, seed);
    return best;
}

} // namespace chestnutsill
