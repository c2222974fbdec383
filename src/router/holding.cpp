#include "chestnutsill/clock.h"
#include "chestnutsill/policy/hash.h"
#include "chestnutsill/router/router.h"
#include "requestcontext.h"

#include <algorithm>

namespace chestnutsill {

namespace {

/// Part of the shortest gap target that prompts may take at an engine; the rest is the time of a step.
constexpr double PrefillShareOfGap = 0.75;

/// What the engines that a request may be sent to can take, and what it needs there.
struct RoomOfEngines
{
    std::vector<double> roomTokens;
    /// Prompt tokens to prefill at the engine that needs the fewest, of those with room if there are any.
    double tokens = 0;
    /// Shortest time that it would take until the first token, in milliseconds.
    double firstTokenMs = 0;
    /// Whether an engine has prefilled the shared parts.
    bool sharedPartCached = false;
};

/// Room for prompts at one engine until its streams miss a gap target. One that prefills nothing takes a
/// prompt of any size.
double roomAt(const UpstreamCandidate &candidate, double gapTokens, double largestTokens)
{
    if (candidate.running >= candidate.slots)
        return 0;
    if (candidate.tokensToPrefill < 1)
        return std::max(gapTokens, largestTokens);
    return std::max(gapTokens - candidate.tokensToPrefill, 0.0);
}

/// Engines in cold start don't count: they get a limited number of requests. Nothing if there is no other.
std::optional<RoomOfEngines> roomOfEngines(std::span<const UpstreamCandidate> candidates,
                                           const RequestContext &context, double tokensPerMs,
                                           double largestTokens)
{
    const Prompt &prompt = context.request.prompt;
    const double shared = sharedTokens(prompt);
    const double gapTokens = PrefillShareOfGap * gapTargets(context).shortestMs * tokensPerMs;
    const double largest = std::max<double>(largestTokens, prompt.tokens);
    RoomOfEngines result;
    std::optional<double> fewestWithRoom;
    std::optional<double> fewest;
    std::optional<double> firstTokenMs;
    for (const UpstreamCandidate &candidate : candidates) {
        if (candidate.inColdStart)
            continue;
        const double tokens = std::max(prompt.tokens - candidate.cachedTokens, 0.0);
        const double room = roomAt(candidate, gapTokens, largest);
        result.roomTokens.push_back(room);
        if (room >= tokens)
            fewestWithRoom = std::min(fewestWithRoom.value_or(tokens), tokens);
        fewest = std::min(fewest.value_or(tokens), tokens);
        const double waitMs = (candidate.tokensToPrefill + tokens) / tokensPerMs;
        firstTokenMs = std::min(firstTokenMs.value_or(waitMs), waitMs);
        result.sharedPartCached = result.sharedPartCached || candidate.prefilledTokens >= shared;
    }
    if (!fewest)
        return std::nullopt;
    result.tokens = fewestWithRoom.value_or(*fewest);
    result.firstTokenMs = *firstTokenMs;
    return result;
}

} // namespace

bool Router::mayHold(const RequestContext &context) const
{
    if (!m_settings.dispatchQueue || m_state.leaving || context.service == nullptr || !context.service->engine
        || context.route->kind != RouteKind::Streaming || context.route->target <= milliseconds(0)
        || continuesStream(context) || !context.triedUpstreams.empty())
        return false;
    const GapTargets targets = gapTargets(context);
    const milliseconds gapTarget = context.route->gapTarget;
    return targets.isAnyStated
           && (gapTarget == milliseconds(0)
               || !isGapSensitive(static_cast<double>(gapTarget.count()), targets.shortestMs));
}

bool Router::updateHeld(RequestContext &context, DispatchQueue &queue, DispatchQueue::Ticket ticket,
                        Instant time)
{
    const double tokensPerMs = m_state.prefillRates.tokensPerMs(context.serviceName);
    const auto room =
        roomOfEngines(collectCandidates(context, time), context, tokensPerMs, queue.largestTokens());
    if (!room)
        return false;
    UpstreamAttempt attempt;
    attempt.expectedFirstTokenMs = room->firstTokenMs;
    // `chooseUpstream` refuses the request then, while the caller can still try again.
    if (isTooLate(context, attempt, time))
        return false;
    queue.updateCached(ticket, room->tokens, room->sharedPartCached);
    const DispatchView view{room->roomTokens, static_cast<int>(m_state.membership.size(time)),
                            m_state.loadTable.peerReportAge(time), std::nullopt};
    (void)queue.release(view, time);
    return true;
}

std::optional<Answer> Router::holdUntilRoom(RequestContext &context, const Fiber &fiber)
{
    const Instant start = now();
    const Prompt &prompt = context.request.prompt;
    const double tokensPerMs = m_state.prefillRates.tokensPerMs(context.serviceName);
    const auto room = roomOfEngines(collectCandidates(context, start), context, tokensPerMs, 0);
    if (!room)
        return std::nullopt;
    DispatchRequest request;
    request.route = context.route->name;
    request.account = context.account != nullptr ? context.account->name : std::string();
    request.tier = engineRank(*context.table, *context.route, context.account);
    request.firstEventDue = context.arrivedAt + context.route->target;
    request.deadline = context.deadline;
    request.tokens = room->tokens;
    request.prefillMs = room->tokens / tokensPerMs;
    request.sharedPart = prompt.parts.size() < 2 ? 0 : prompt.parts[prompt.parts.size() - 2].id;
    request.sharedPartCached = room->sharedPartCached;
    if (latestRelease(request, start) <= start)
        return std::nullopt;
    DispatchQueue &queue = m_state.dispatchQueues
                               .try_emplace(context.serviceName,
                                            stableHash(m_settings.instance, stableHash(context.serviceName)))
                               .first->second;
    const DispatchQueue::Ticket ticket = queue.add(std::move(request), start);
    bool isHeld = updateHeld(context, queue, ticket, start);
    Instant updatedAt = start;
    if (isHeld && !queue.isReleased(ticket))
        m_state.metrics.add("held_requests_total", context.route->name);
    while (isHeld && !queue.isReleased(ticket) && !isGivenUp(context) && !m_state.leaving) {
        context.heldReason = queue.reason(ticket);
        const auto left = std::chrono::ceil<milliseconds>(queue.latest(ticket) - now());
        (void)context.sleep.sleepFor(std::clamp(left, milliseconds(1), DispatchQueue::CheckPeriod), fiber);
        const Instant time = now();
        context.heldFor = time - start;
        if (queue.isReleased(ticket))
            break;
        // One request looks at the engines for all that are held, and each one for itself once in a while.
        if (queue.isDue(time) || time - updatedAt >= DispatchQueue::ViewInterval
            || time >= queue.latest(ticket)) {
            isHeld = updateHeld(context, queue, ticket, time);
            updatedAt = time;
        }
    }
    if (queue.isReleased(ticket) && !isGivenUp(context))
        queue.recordSent(ticket);
    else
        queue.remove(ticket);
    if (!isGivenUp(context) && mayOutlastProcess(context))
        return refuseLeaving(context);
    return std::nullopt;
}

} // namespace chestnutsill
