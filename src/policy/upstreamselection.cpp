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
constexpr double RereadWeight = 1.5;
constexpr double MostRereadWeight = 8;
/// Mean queue that adds 1 to that weight, in milliseconds.
constexpr double RereadQueueMs = 100;
/// What fetching tokens counts as against the time of reading them. Moved memory is paid for, and waiting a
/// little costs nothing while the answer is on time.
constexpr double FetchWeight = 2;
/// Time in which a fetch is set up, in milliseconds.
constexpr double FetchSetupMs = 5;
/// How much each millisecond of reading counts for every running request, whose next token it delays.
constexpr double PauseWeight = 0.05;
/// What a share of failures of 1 counts as, in milliseconds: more than any queue that is worth waiting for.
constexpr double FailureMs = 3000;
/// What another availability zone counts as, in milliseconds; breaks ties in favour of traffic that stays
/// near.
constexpr double OtherZoneMs = 2;
/// What it counts as to send a pause-sensitive stream where long prompts are read, in milliseconds: about the
/// time to the first token that such streams bear.
constexpr double SensitiveApartMs = 500;
/// What it counts as to send another request where pause-sensitive streams run, in milliseconds, and how much
/// more for each request that runs there.
constexpr double OthersApartMs = 100;
constexpr double OthersApartPerRunningMs = 20;
/// Upstreams that are compared for one request, beside those that hold its shared part. With more, all
/// instances would send to the one that looked emptiest a moment ago.
constexpr std::size_t MostCompared = 10;
/// Part of the upstreams that pause-sensitive streams go to first, and how far it grows with their number.
/// The rest is left to long prompts.
constexpr double LeastSensitiveShare = 0.25;
constexpr double MostSensitiveShare = 0.7;
/// Part of the slots in use at which it grows: with more, the prompts of the streams themselves make pauses.
constexpr double WidenAt = 0.3;
/// A stream is pause-sensitive when its longest pause on time is under this many times the shortest of its
/// service.
constexpr double SensitiveRatio = 1.5;
/// Width of the random part of a cost, in milliseconds, so that instances with the same view don't all choose
/// alike.
constexpr double JitterMs = 1;

/// The candidate that ranks first for the last shared part of a prompt; nothing when the prompt shares none.
std::optional<std::size_t> homeOf(std::span<const UpstreamCandidate> candidates, const Prompt &prompt)
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
std::optional<std::size_t> sourceFor(std::size_t taker, std::span<const UpstreamCandidate> candidates,
                                     std::uint64_t seed)
{
    std::optional<std::size_t> best;
    const auto rank = [&](std::size_t i) {
        return std::pair(candidates[i].prefilledTokens, stableHash(candidates[i].upstream, seed));
    };
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (i != taker && candidates[i].prefilledTokens > 0 && (!best || rank(i) > rank(*best)))
            best = i;
    }
    return best;
}

/// Where a prompt's shared parts lie.
struct Whereabouts
{
    /// The candidate that ranks first for the last shared part.
    std::optional<std::size_t> home;
    double shared = 0;
    /// Most tokens of the prompt that any candidate holds or will hold, and that any has read and others may
    /// fetch.
    double known = 0;
    double fetchable = 0;
};

Whereabouts locate(std::span<const UpstreamCandidate> candidates, const Prompt &prompt, bool canFetch)
{
    Whereabouts where;
    where.home = homeOf(candidates, prompt);
    where.shared = sharedTokens(prompt);
    // Without fetching, the upstream that ranks first is taken to hold what no heartbeat has told of yet.
    if (!canFetch)
        where.known = where.shared;
    for (const UpstreamCandidate &candidate : candidates) {
        where.known = std::max(where.known, candidate.cachedTokens);
        if (canFetch)
            where.fetchable = std::max(where.fetchable, candidate.prefilledTokens);
    }
    return where;
}

/// What is expected of one candidate.
struct Estimate
{
    double tokensToPrefill = 0;
    double cost = 0;
};

/// Tokens that a candidate would fetch: none when reading them is as fast.
double tokensToFetch(double held, const Whereabouts &where, const ServiceTimeModel &speed)
{
    const double tokens = std::max(where.fetchable - held, 0.0);
    const double fetchMs = FetchSetupMs + tokens / std::max(speed.fetchTokensPerMs, 1.0);
    return fetchMs < tokens / speed.prefillTokensPerMs ? tokens : 0;
}

/// How long a request waits for what its upstream has before it, in milliseconds.
double waitMsAt(const UpstreamCandidate &candidate, const ServiceTimeModel &speed)
{
    const double waitMs =
        candidate.tokensToPrefill / speed.prefillTokensPerMs + candidate.running * speed.msPerRunningRequest;
    const int over = candidate.running - candidate.slots + 1;
    return over > 0 ? waitMs + over * speed.msPerQueuedRequest : waitMs;
}

/// `draw` is a random number that belongs to the request and the candidate.
Estimate estimate(const UpstreamCandidate &candidate, bool isHome, const Prompt &prompt,
                  const Whereabouts &where, double rereadWeight, const ServiceTimeModel &speed,
                  std::uint64_t draw)
{
    const bool canFetch = speed.fetchTokensPerMs > 0;
    const double held =
        isHome && !canFetch ? std::max(candidate.cachedTokens, where.shared) : candidate.cachedTokens;
    const double fetched = tokensToFetch(held, where, speed);
    const double fetchMs = fetched > 0 ? FetchSetupMs + fetched / speed.fetchTokensPerMs : 0;
    const double unread = std::max(prompt.tokens - held - fetched, 0.0);
    const double readMs = unread / speed.prefillTokensPerMs;
    // Tokens that another upstream holds, or that the one that ranks first may be reading unknown to this
    // one.
    const double twice = std::clamp(where.known - held - fetched, 0.0, unread)
                         + (isHome ? 0 : std::max(where.shared - where.known, 0.0));
    const double harmMs = readMs * candidate.running * PauseWeight;
    Estimate result;
    result.tokensToPrefill = std::max(prompt.tokens - candidate.cachedTokens - fetched, 0.0);
    result.cost = waitMsAt(candidate, speed) + fetchMs + readMs + harmMs
                  + twice / speed.prefillTokensPerMs * (rereadWeight - 1)
                  + fetched / speed.prefillTokensPerMs * FetchWeight + candidate.failureRate * FailureMs
                  + (candidate.sameZone ? 0 : OtherZoneMs) + candidate.apartMs + jitter(draw);
    return result;
}

double rereadWeightAt(std::span<const UpstreamCandidate> candidates, const ServiceTimeModel &speed)
{
    double unread = 0;
    for (const UpstreamCandidate &candidate : candidates)
        unread += candidate.tokensToPrefill;
    const auto count = static_cast<double>(std::max<std::size_t>(candidates.size(), 1));
    return std::min(RereadWeight + unread / speed.prefillTokensPerMs / count / RereadQueueMs,
                    MostRereadWeight);
}

} // namespace

std::vector<bool> reserveForGapSensitive(std::span<const UpstreamCandidate> candidates)
{
    constexpr std::size_t FewestToDivide = 4;
    constexpr std::size_t FewestMarked = 2;
    const std::size_t total = candidates.size();
    std::vector<bool> marks(total, false);
    if (total < FewestToDivide)
        return marks;
    std::vector<std::pair<std::uint64_t, std::size_t>> order;
    order.reserve(total);
    for (std::size_t i = 0; i < total; ++i)
        order.emplace_back(stableHash(candidates[i].upstream), i);
    std::sort(order.begin(), order.end());
    const auto part = [&](double share) {
        return static_cast<std::size_t>(std::lround(share * static_cast<double>(total)));
    };
    const std::size_t least = std::clamp(part(LeastSensitiveShare), FewestMarked, total / 2);
    const std::size_t most = std::max(part(MostSensitiveShare), least);
    int running = 0;
    double slots = 0;
    for (std::size_t i = 0; i < most && (i < least || running > WidenAt * slots); ++i) {
        const UpstreamCandidate &candidate = candidates[order[i].second];
        marks[order[i].second] = true;
        running += candidate.running;
        slots += candidate.slots;
    }
    return marks;
}

bool isGapSensitive(double pauseMs, double shortestMs) noexcept
{
    return pauseMs < SensitiveRatio * shortestMs;
}

void separateByGapSensitivity(std::span<UpstreamCandidate> candidates, bool sensitive)
{
    const auto marks = reserveForGapSensitive(candidates);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        UpstreamCandidate &candidate = candidates[i];
        candidate.preferred = candidate.inColdStart || marks[i] == sensitive;
        const double otherMs =
            sensitive ? SensitiveApartMs : OthersApartMs + OthersApartPerRunningMs * candidate.running;
        candidate.apartMs = candidate.preferred ? 0 : otherMs;
    }
}

std::optional<UpstreamSelection> selectUpstream(std::span<const UpstreamCandidate> candidates,
                                                const Prompt &prompt, const ServiceTimeModel &speed,
                                                std::uint64_t seed)
{
    const Whereabouts where = locate(candidates, prompt, speed.fetchTokensPerMs > 0);
    const double rereadWeight = rereadWeightAt(candidates, speed);
    std::optional<UpstreamSelection> best;
    double bestCost = 0;
    const std::size_t stride = std::max<std::size_t>(candidates.size() / MostCompared, 1);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const UpstreamCandidate &candidate = candidates[i];
        const bool isHome = where.home == i;
        const bool holdsShared = where.shared > 0 && candidate.cachedTokens >= where.shared;
        const std::uint64_t draw = stableHash(candidate.upstream, seed);
        if (!isHome && !holdsShared && !candidate.inColdStart && draw % stride != 0
            && (best || i + 1 < candidates.size()))
            continue;
        const Estimate expected = estimate(candidate, isHome, prompt, where, rereadWeight, speed, draw);
        if (!best || expected.cost < bestCost) {
            best = UpstreamSelection{i, expected.tokensToPrefill, std::nullopt};
            bestCost = expected.cost;
        }
    }
    // Named also when the upstream is believed to hold all, since that may have yielded to other prompts.
    if (best && speed.fetchTokensPerMs > 0)
        best->source = sourceFor(best->candidate, candidates, seed);
    return best;
}

} // namespace chestnutsill
