#include "chestnutsill/router/router.h"

#include "chestnutsill/clock.h"
#include "chestnutsill/policy/hash.h"
#include "requestcontext.h"

#include <algorithm>

namespace chestnutsill {

namespace {

/// Prefers upstreams so that gap-sensitive streams and long prompts run apart while there is capacity.
/// Returns what gaps the request may cause: without limit unless this is enabled and the gap targets of its
/// service differ.
GapBudget applyGapSensitivity(RequestContext &context, std::vector<UpstreamCandidate> &candidates,
                              const ServiceTimeModel &timeModel, bool isEnabled)
{
    if (context.service == nullptr || !context.service->engine)
        return {};
    const GapTargets targets = gapTargets(context);
    context.gapSensitive =
        isGapSensitive(static_cast<double>(context.route->gapTarget.count()), targets.shortestMs);
    const bool hasBudget = isEnabled && targets.differ;
    separateByGapSensitivity(candidates, context.gapSensitive, hasBudget);
    if (!hasBudget)
        return {};
    const double prefillMs =
        static_cast<double>(context.request.prompt.tokens) / timeModel.prefillTokensPerMs;
    return {targets.shortestMs, context.gapSensitive,
            bearableWaitMs(static_cast<double>(context.route->target.count()), prefillMs)};
}

/// Whether an upstream is in its cold start and its service limits the request rate meanwhile.
bool isInColdStart(const RequestContext &context, const UpstreamRecord &record, Instant time)
{
    return time < record.coldUntil && context.service != nullptr && context.service->coldPerSecond > 0;
}

/// Names of all live instances, including this one.
std::vector<std::string> liveInstances(const RouterState &state, const std::string &own, Instant now)
{
    std::vector<std::string> names{own};
    for (const InstanceStatus &instance : state.membership.alive(now))
        names.push_back(instance.name);
    return names;
}

/// Number from 0 to 1 that differs between requests, to spread decisions and the return of callers.
double drawOf(const RequestContext &context)
{
    constexpr std::uint64_t Steps = 1024;
    return static_cast<double>(stableHash(context.request.attemptId, Steps) % Steps)
           / static_cast<double>(Steps);
}

/// Whether a request may run at the software version that the entry of an upstream names.
bool mayRunAt(const RequestContext &context, const UpstreamEntry &entry)
{
    return !context.streamVersion || entry.softwareVersion == *context.streamVersion;
}

/// When the first of the upstreams that a request may use accepts requests again, of those that limit their
/// rate or want none for a time; nothing if there is none.
std::optional<Instant> nextAcceptedAt(const RouterState &state, const RequestContext &context, Instant time)
{
    std::optional<Instant> earliest;
    for (const UpstreamRecord *record : state.catalog.usableUpstreams(context.serviceName)) {
        const std::string &id = record->entry.id;
        const auto pauseEnd = state.upstreamPauses.pausedUntil(id, record->entry.startUnixMs, time);
        if (!mayRunAt(context, record->entry) || (!pauseEnd && !state.rateLimits.perSecond(id)))
            continue;
        const Instant at = std::max(state.rateLimits.nextPermitAt(id), pauseEnd.value_or(Instant{}));
        earliest = std::min(earliest.value_or(at), at);
    }
    return earliest;
}

bool contains(std::span<const std::string> names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

/// Maximum number of upstreams that deny one attempt a permit before all that need one are left out.
constexpr std::size_t MaxPermitRequests = 3;
/// A turn to send, by a permit or at an upstream in cold start, is not used later than this after it was due.
constexpr milliseconds MaxTurnLateness{100};
/// Maximum wait for a permit if the route has no target.
constexpr milliseconds DefaultPermitWait{100};
/// Maximum wait for a permit to resume a stream, whose caller bears a pause of two seconds.
constexpr milliseconds MaxResumeWait{1000};
/// Part of the target, and of the time left, that a request may wait for a permit.
constexpr int PermitWaitDivisor = 4;

/// How long a request may wait for a permit. While more requests arrive than the upstreams accept, all wait
/// for as long as they may, so that a longer wait would only make the responses late.
milliseconds maxPermitWait(const RequestContext &context, Instant time)
{
    const auto left = std::chrono::duration_cast<milliseconds>(context.deadline - time);
    if (continuesStream(context))
        return std::clamp(left / PermitWaitDivisor, milliseconds(0), MaxResumeWait);
    const milliseconds target = context.route->target;
    const milliseconds longest = target > milliseconds(0) ? target / PermitWaitDivisor : DefaultPermitWait;
    return std::clamp(left / PermitWaitDivisor, milliseconds(0), longest);
}

/// How a request competes for an upstream of its service in cold start. It may wait for as long as the answer
/// can be on time, and for the next request that this instance may send in any case.
ColdStartRequest coldStartRequest(const RouterState &state, const RequestContext &context, Instant time)
{
    /// Part of the time left that a request may wait for a cold upstream.
    constexpr int WaitDivisor = 4;
    const Instant longest = std::max<Instant>(context.route->target,
                                              ColdStartLimiter::intervalOf(context.service->coldPerSecond));
    const auto left = std::max((context.deadline - time) / WaitDivisor, Instant{});
    return {state.rankDemand.isMostUrgent(context.serviceName, rankOf(context), time),
            std::chrono::duration_cast<milliseconds>(std::min(left, longest))};
}

} // namespace

GapTargets gapTargets(const RequestContext &context)
{
    milliseconds shortest = milliseconds::max();
    milliseconds longest{};
    for (const Route &route : context.table->routes) {
        const bool sameService =
            std::any_of(route.services.begin(), route.services.end(),
                        [&](const auto &part) { return part.service == context.serviceName; });
        if (!sameService || route.gapTarget <= milliseconds(0))
            continue;
        shortest = std::min(shortest, route.gapTarget);
        longest = std::max(longest, route.gapTarget);
    }
    const auto shortestMs = static_cast<double>(shortest.count());
    return {shortestMs, longest > milliseconds(0),
            !isGapSensitive(static_cast<double>(longest.count()), shortestMs)};
}

std::vector<UpstreamCandidate> Router::collectCandidates(const RequestContext &context, Instant time) const
{
    auto candidates = collectCandidates(context, time, {});
    if (candidates.empty())
        candidates = collectCandidates(context, time, {.mayWait = true});
    if (candidates.empty())
        candidates = collectCandidates(
            context, time,
            {.includeSuspected = true, .includeEjected = continuesStream(context), .mayWait = true});
    return candidates;
}

std::vector<UpstreamCandidate> Router::collectCandidates(const RequestContext &context, Instant time,
                                                         const CandidateFilter &filter) const
{
    const milliseconds permitWait = filter.mayWait ? maxPermitWait(context, time) : milliseconds(0);
    const bool isCutOff = m_state.upstreamReach.isCutOff(context.serviceName);
    std::vector<UpstreamCandidate> found;
    std::vector<std::string> instances;
    for (const UpstreamRecord *record : m_state.catalog.usableUpstreams(context.serviceName)) {
        const std::string &id = record->entry.id;
        if (contains(context.triedUpstreams, id) || m_state.silenceDetector.isSilent(id)
            || (!filter.includeEjected && m_state.outlierDetector.isEjected(id, time))
            || (isCutOff && !isReachedByKeptConnection(id, time))
            || (!filter.includeSuspected && m_state.silenceDetector.isSuspected(id)))
            continue;
        const bool isCertain = !context.streamVersion || m_state.catalog.describesProcess(*record, time);
        if (!mayRunAt(context, record->entry) || !isCertain || pausedUntil(*record, time))
            continue;
        if (!hasRoom(*record, time))
            continue;
        const bool isLimited = m_state.rateLimits.perSecond(id).has_value();
        if (isLimited
            && (contains(context.deniedUpstreams, id) || context.deniedUpstreams.size() >= MaxPermitRequests
                || m_state.rateLimits.nextPermitAt(id) > time + permitWait))
            continue;
        const bool isCold = isInColdStart(context, *record, time);
        Instant acceptedAt = time;
        if (isCold) {
            if (instances.empty())
                instances = liveInstances(m_state, m_settings.instance, time);
            ColdStartRequest request = coldStartRequest(m_state, context, time);
            if (!filter.mayWait)
                request.maxWait = milliseconds(0);
            const auto at = m_state.coldStartLimiter.sendAt(id, context.service->coldPerSecond,
                                                            m_settings.instance, instances, request, time);
            if (!at)
                continue;
            acceptedAt = *at;
        }
        const Load load = m_state.loadTable.total(id, time);
        const CachedTokens cachedTokens = m_state.prefixCacheIndex.lookup(id, context.request.prompt);
        found.push_back({.upstream = id,
                         .slots = record->entry.slots,
                         .running = load.running,
                         .tokensToPrefill = load.tokensToPrefill,
                         .gapSensitive = load.gapSensitive,
                         .cachedTokens = cachedTokens.cached,
                         .prefilledTokens = cachedTokens.prefilled,
                         .failureRate = m_state.outlierDetector.failureRate(id, time),
                         .speed = m_state.upstreamSpeeds.speed(id, time),
                         .inColdStart = isCold,
                         .waitMs = std::chrono::duration<double, std::milli>(acceptedAt - time).count(),
                         .rateLimited = isLimited,
                         .sameZone = record->entry.zone == m_settings.zone});
    }
    return found;
}

bool Router::isTooLate(RequestContext &context, const UpstreamAttempt &attempt, Instant time) const
{
    // A stream that has begun is continued as long as its deadline allows.
    if (attempt.expectedFirstTokenMs <= 0 || context.route->kind != RouteKind::Streaming
        || continuesStream(context))
        return false;
    const double draw = drawOf(context);
    const auto expected = std::chrono::duration_cast<Instant>(
        std::chrono::duration<double, std::milli>(attempt.expectedFirstTokenMs));
    if (!m_state.deadlineEstimator.isTooLate(context.route->name, expected, context.deadline - time, draw))
        return false;
    context.retryAfter = retryDelay(context.deadline - time, draw);
    return true;
}

bool Router::selectCandidate(RequestContext &context, UpstreamAttempt &attempt,
                             std::vector<UpstreamCandidate> &candidates, Instant time) const
{
    ServiceTimeModel serviceTimes;
    if (context.service != nullptr && context.service->engine) {
        serviceTimes.fetchTokensPerMs = context.service->engine->fetchTokensPerMs;
        serviceTimes.prefillTokensPerMs = m_state.prefillRates.tokensPerMs(context.serviceName);
    }
    const GapBudget gapBudget = applyGapSensitivity(context, candidates, serviceTimes, m_settings.gapBudget);
    const auto selection = selectUpstream(candidates, context.request.prompt, serviceTimes,
                                          stableHash(context.request.attemptId), gapBudget);
    if (!selection)
        return false;
    const UpstreamCandidate &candidate = candidates[selection->candidate];
    const UpstreamRecord &record = *m_state.catalog.find(candidate.upstream);
    attempt.upstream = record.entry.id;
    attempt.address = record.entry.address;
    attempt.softwareVersion = record.entry.softwareVersion;
    attempt.startUnixMs = record.entry.startUnixMs;
    attempt.tokensToPrefill = selection->tokensToPrefill;
    attempt.speed = candidate.speed;
    if (context.service != nullptr && context.service->engine)
        attempt.expectedFirstTokenMs = selection->firstTokenMs;
    attempt.hadNoQueue = candidate.tokensToPrefill < 1 && !candidate.inColdStart;
    if (selection->source)
        attempt.fetchFrom = m_state.catalog.find(candidates[*selection->source].upstream)->entry.address;
    if (candidate.inColdStart)
        attempt.acceptedAt =
            time + std::chrono::ceil<Instant>(std::chrono::duration<double, std::milli>(candidate.waitMs));
    return true;
}

std::optional<Answer> Router::chooseUpstream(RequestContext &context, UpstreamAttempt &attempt)
{
    const Instant time = now();
    if (time >= context.deadline)
        return refuseNotRun("deadline", "the deadline of the request has passed");
    m_state.catalog.removeExpired(time);
    m_state.rankDemand.record(context.serviceName,
                              engineRank(*context.table, *context.route, context.account), time);
    auto candidates = collectCandidates(context, time);
    const bool canGoElsewhere = std::any_of(candidates.begin(), candidates.end(),
                                            [](const auto &candidate) { return !candidate.rateLimited; });
    context.permitWait = canGoElsewhere ? milliseconds(0) : maxPermitWait(context, time);
    if (selectCandidate(context, attempt, candidates, time)) {
        if (isTooLate(context, attempt, time))
            return refuseNotRun("too-late", "no upstream can complete the request before its deadline");
        // The limiter allowed this when the candidates were collected, and its state hasn't changed since.
        if (attempt.acceptedAt != Instant{})
            m_state.coldStartLimiter.recordSend(attempt.upstream, context.service->coldPerSecond,
                                                coldStartRequest(m_state, context, time), attempt.acceptedAt,
                                                time);
        return std::nullopt;
    }
    if (const auto acceptedAt = nextAcceptedAt(m_state, context, time)) {
        const auto delay = std::max(std::chrono::ceil<milliseconds>(*acceptedAt - time), milliseconds(0));
        context.retryAfter = delay + retryDelay(context.deadline - time - delay, drawOf(context));
        return refuseNotRun("rate-limited", "the upstreams of the service accept no more requests now");
    }
    if (lacksRoom(context, time)) {
        context.retryAfter = retryDelay(context.deadline - time, drawOf(context));
        return refuseNotRun("no-room", "the upstreams of the service have no room now");
    }
    return refuseNotRun("no-upstream", "no upstream of the service can accept the request now");
}

std::optional<Answer> Router::choosePermittedUpstream(RequestContext &context, UpstreamAttempt &attempt,
                                                      const Fiber &fiber)
{
    /// Time after which a request that waits for room at a brittle upstream looks again.
    constexpr milliseconds RoomCheckPeriod{20};
    context.deniedUpstreams.clear();
    if (mayHold(context)) {
        if (auto refused = holdUntilRoom(context, fiber))
            return refused;
        if (isGivenUp(context))
            return answerGivenUp(context);
    }
    const Instant start = now();
    for (;;) {
        if (auto refused = chooseUpstream(context, attempt)) {
            const Instant time = now();
            if (refused->reason != "no-room" || isGivenUp(context)
                || time - start > maxPermitWait(context, start))
                return refused;
            (void)context.sleep.sleepFor(RoomCheckPeriod, fiber);
            attempt = UpstreamAttempt{};
            continue;
        }
        if (!acquirePermit(attempt.upstream, context.permitWait, rankOf(context), context.sleep, fiber))
            context.deniedUpstreams.push_back(attempt.upstream);
        else if (waitUntilAccepted(attempt, context.sleep, fiber))
            return std::nullopt;
        attempt = UpstreamAttempt{};
        if (isGivenUp(context))
            return answerGivenUp(context);
    }
}

bool Router::waitUntilAccepted(const UpstreamAttempt &attempt, InterruptibleSleep &sleep, const Fiber &fiber)
{
    if (attempt.acceptedAt == Instant{})
        return true;
    const auto delay = std::chrono::ceil<milliseconds>(attempt.acceptedAt - now());
    if (delay > milliseconds(0) && !sleep.sleepFor(delay, fiber))
        return false;
    return now() - attempt.acceptedAt <= MaxTurnLateness;
}

bool Router::acquirePermit(const std::string &upstream, milliseconds maxDelay, int rank,
                           InterruptibleSleep &sleep, const Fiber &fiber)
{
    /// Time until an issuer that did not reply is asked again.
    constexpr milliseconds NoReplyDelay{200};
    const Instant start = now();
    const auto rate = m_state.rateLimits.perSecond(upstream);
    if (!rate)
        return true;
    const PermitRequest request{stableHash(upstream), *rate, maxDelay, rank};
    const auto issuer = m_state.membership.firstRanked(request.upstream, start);
    const Permit permit =
        issuer
            ? m_state.requestPermit(issuer->peerAddress, request, fiber).value_or(Permit{false, NoReplyDelay})
            : m_state.permitIssuer.issue(request, m_state.membership.isSettled(start), start);
    if (!permit.granted) {
        m_state.rateLimits.recordDenied(upstream, now() + permit.delay);
        return false;
    }
    if (permit.delay > milliseconds(0) && !sleep.sleepFor(permit.delay, fiber))
        return false;
    return now() - start <= permit.delay + MaxTurnLateness;
}

} // namespace chestnutsill
