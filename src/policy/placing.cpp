#include "chestnutsill/policy/placing.h"

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
/// How much each millisecond of reading counts for every running request, whose next token it delays.
constexpr double PauseWeight = 0.05;
/// What a share of failures of 1 counts as, in milliseconds: more than any queue that is worth waiting for.
constexpr double FailureMs = 3000;
/// What another availability zone counts as, in milliseconds; breaks ties in favour of traffic that stays
/// near.
constexpr double OtherZoneMs = 2;
/// What an upstream that is kept for requests of another kind counts as, in milliseconds.
constexpr double NotPreferredMs = 150;
/// Upstreams that are compared for one request, beside those that hold its shared part. With more, all
/// instances would send to the one that looked emptiest a moment ago.
constexpr std::size_t MostCompared = 10;
/// Part of the upstreams that pause-sensitive streams go to first.
constexpr double SensitiveShare = 0.25;
/// A stream is pause-sensitive when its longest pause on time is under this many times the shortest of its
/// service.
constexpr double SensitiveRatio = 1.5;
/// Width of the random part of a cost, in milliseconds, so that instances with the same view don't all choose
/// alike.
constexpr double JitterMs = 1;

double sharedTokens(const Prompt &prompt)
{
    double tokens = 0;
    for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i)
        tokens += prompt.parts[i].tokens;
    return tokens;
}

/// The candidate that ranks first for the last shared part of a prompt; nothing when the prompt shares none.
std::optional<std::size_t> homeOf(std::span<const PlacingCandidate> candidates, const Prompt &prompt)
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

double jitter(std::string_view upstream, std::uint64_t seed)
{
    constexpr std::uint64_t Steps = 1024;
    return JitterMs * static_cast<double>(stableHash(upstream, seed) % Steps) / Steps;
}

/// What is expected of one candidate.
struct Estimate
{
    double firstTokenMs = 0;
    double unreadTokens = 0;
    double cost = 0;
};

Estimate estimate(const PlacingCandidate &candidate, const Prompt &prompt, double cached, double rereadWeight,
                  const PlacingSpeed &speed, std::uint64_t seed)
{
    Estimate result;
    result.unreadTokens = std::max(prompt.tokens - cached, 0.0);
    const double readMs = result.unreadTokens / speed.promptTokensPerMs;
    double waitMs = candidate.unreadTokens / speed.promptTokensPerMs + candidate.running * speed.runningMs;
    if (candidate.running >= candidate.slots)
        waitMs += (candidate.running - candidate.slots + 1) * speed.waitMs;
    result.firstTokenMs = waitMs + readMs;
    const double harmMs = readMs * candidate.running * PauseWeight;
    result.cost = waitMs + readMs * rereadWeight + harmMs + candidate.failureShare * FailureMs
                  + (candidate.sameZone ? 0 : OtherZoneMs) + (candidate.preferred ? 0 : NotPreferredMs)
                  + jitter(candidate.upstream, seed);
    return result;
}

double rereadWeightAt(std::span<const PlacingCandidate> candidates, const PlacingSpeed &speed)
{
    double unread = 0;
    for (const PlacingCandidate &candidate : candidates)
        unread += candidate.unreadTokens;
    const auto count = static_cast<double>(std::max<std::size_t>(candidates.size(), 1));
    return std::min(RereadWeight + unread / speed.promptTokensPerMs / count / RereadQueueMs,
                    MostRereadWeight);
}

} // namespace

std::vector<bool> markForSensitive(std::span<const std::string_view> upstreams, double share)
{
    constexpr std::size_t FewestToDivide = 4;
    constexpr std::size_t FewestMarked = 2;
    std::vector<bool> marks(upstreams.size(), false);
    if (upstreams.size() < FewestToDivide)
        return marks;
    std::vector<std::pair<std::uint64_t, std::size_t>> order;
    for (std::size_t i = 0; i < upstreams.size(); ++i)
        order.emplace_back(stableHash(upstreams[i]), i);
    std::sort(order.begin(), order.end());
    const auto wanted = static_cast<std::size_t>(std::lround(share * static_cast<double>(upstreams.size())));
    const std::size_t count = std::clamp(wanted, FewestMarked, upstreams.size() / 2);
    for (std::size_t i = 0; i < count; ++i)
        marks[order[i].second] = true;
    return marks;
}

bool isPauseSensitive(double pauseMs, double shortestMs) noexcept
{
    return pauseMs < SensitiveRatio * shortestMs;
}

void preferBySensitivity(std::span<PlacingCandidate> candidates, bool sensitive)
{
    std::vector<std::string_view> ids;
    ids.reserve(candidates.size());
    for (const PlacingCandidate &candidate : candidates)
        ids.push_back(candidate.upstream);
    const auto marks = markForSensitive(ids, SensitiveShare);
    for (std::size_t i = 0; i < candidates.size(); ++i)
        candidates[i].preferred = marks[i] == sensitive;
}

std::optional<Placement> place(std::span<const PlacingCandidate> candidates, const Prompt &prompt,
                               const PlacingSpeed &speed, std::uint64_t seed)
{
    const auto home = homeOf(candidates, prompt);
    const double shared = sharedTokens(prompt);
    const double rereadWeight = rereadWeightAt(candidates, speed);
    std::optional<Placement> best;
    double bestCost = 0;
    const std::size_t stride = std::max<std::size_t>(candidates.size() / MostCompared, 1);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const PlacingCandidate &candidate = candidates[i];
        const bool isHome = home == i;
        const bool holdsShared = shared > 0 && candidate.cachedTokens >= shared;
        if (!isHome && !holdsShared && stableHash(candidate.upstream, seed) % stride != 0
            && (best || i + 1 < candidates.size()))
            continue;
        const double cached = isHome ? std::max(candidate.cachedTokens, shared) : candidate.cachedTokens;
        const Estimate expected = estimate(candidate, prompt, cached, isHome ? 1 : rereadWeight, speed, seed);
        if (!best || expected.cost < bestCost) {
            best = Placement{i, expected.firstTokenMs, expected.unreadTokens};
            bestCost = expected.cost;
        }
    }
    return best;
}

} // namespace chestnutsill
