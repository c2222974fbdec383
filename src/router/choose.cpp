#include "chestnutsill/router/router.h"

#include "chestnutsill/clock.h"
#include "chestnutsill/policy/hash.h"
#include "requestcontext.h"

#include <algorithm>

namespace chestnutsill {

namespace {

/// Whether the route's target for the inter-token gap is about the shortest among the routes of its service.
bool hasStrictGapTarget(const RequestContext &context)
{
    milliseconds shortest = milliseconds::max();
    for (const Route &route : context.table->routes) {
        const bool sameService =
            std::any_of(route.services.begin(), route.services.end(),
                        [&](const auto &part) { return part.service == context.serviceName; });
        if (sameService && route.gapTarget > milliseconds(0))
            shortest = std::min(shortest, route.gapTarget);
    }
    return isGapSensitive(static_cast<double>(context.route->gapTarget.count()),
                          static_cast<double>(shortest.count()));
}

/// Prefers upstreams so that gap-sensitive streams and long prompts run apart while there is capacity.
void applyGapSensitivity(const RequestContext &context, std::vector<UpstreamCandidate> &candidates)
{
    if (context.service == nullptr || !context.service->engine)
        return;
    separateByGapSensitivity(candidates, hasStrictGapTarget(context));
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

} // namespace

std::vector<UpstreamCandidate> Router::collectCandidates(const RequestContext &context, Instant time) const
{
    auto candidates = collectCandidates(context, time, false);
    return candidates.empty() ? collectCandidates(context, time, true) : candidates;
}

std::vector<UpstreamCandidate> Router::collectCandidates(const RequestContext &context, Instant time,
                                                         bool includeSuspected) const
{
    std::vector<UpstreamCandidate> found;
    std::vector<std::string> instances;
    for (const UpstreamRecord *record : m_state.catalog.usableUpstreams(context.serviceName)) {
        const std::string &id = record->entry.id;
        const bool wasTried = std::find(context.triedUpstreams.begin(), context.triedUpstreams.end(), id)
                              != context.triedUpstreams.end();
        if (wasTried || m_state.outlierDetector.isEjected(id, time) || m_state.silenceDetector.isSilent(id)
            || (!includeSuspected && m_state.silenceDetector.isSuspected(id)))
            continue;
        const bool isCold = isInColdStart(context, *record, time);
        if (isCold) {
            if (instances.empty())
                instances = liveInstances(m_state, m_settings.instance, time);
            if (!m_state.coldStartLimiter.maySend(id, context.service->coldPerSecond, m_settings.instance,
                                                  instances, time))
                continue;
        }
        const Load load = m_state.loadTable.total(id, time);
        const CachedTokens cachedTokens = m_state.prefixCacheIndex.lookup(id, context.request.prompt);
        found.push_back({.upstream = id,
                         .slots = record->entry.slots,
                         .running = load.running,
                         .tokensToPrefill = load.tokensToPrefill,
                         .cachedTokens = cachedTokens.cached,
                         .prefilledTokens = cachedTokens.prefilled,
                         .failureRate = m_state.outlierDetector.failureRate(id, time),
                         .inColdStart = isCold,
                         .sameZone = record->entry.zone == m_settings.zone});
    }
    return found;
}

bool Router::isTooLate(RequestContext &context, const UpstreamAttempt &attempt, Instant time) const
{
    // A stream that has begun is continued as long as its deadline allows.
    if (attempt.expectedFirstTokenMs <= 0 || context.route->kind != RouteKind::Streaming
        || context.responseStarted)
        return false;
    constexpr std::uint64_t Steps = 1024;
    const double draw = static_cast<double>(stableHash(context.request.attemptId, Steps) % Steps)
                        / static_cast<double>(Steps);
    const auto expected = std::chrono::duration_cast<Instant>(
        std::chrono::duration<double, std::milli>(attempt.expectedFirstTokenMs));
    if (!m_state.deadlineEstimator.isTooLate(context.route->name, expected, context.deadline - time, draw))
        return false;
    context.retryAfter = retryDelay(context.deadline - time, draw);
    return true;
}

std::optional<Answer> Router::chooseUpstream(RequestContext &context, UpstreamAttempt &attempt)
{
    const Instant time = now();
    if (time >= context.deadline)
        return refuseNotRun("deadline", "the deadline of the request has passed");
    m_state.catalog.removeExpired(time);
    auto candidates = collectCandidates(context, time);
    applyGapSensitivity(context, candidates);
    ServiceTimeModel serviceTimes;
    if (context.service != nullptr && context.service->engine) {
        serviceTimes.fetchTokensPerMs = context.service->engine->fetchTokensPerMs;
        serviceTimes.prefillTokensPerMs = m_state.prefillRates.tokensPerMs(context.serviceName);
    }
    const auto selection = selectUpstream(candidates, context.request.prompt, serviceTimes,
                                          stableHash(context.request.attemptId));
    if (selection) {
        const UpstreamRecord &record = *m_state.catalog.find(candidates[selection->candidate].upstream);
        attempt.upstream = record.entry.id;
        attempt.address = record.entry.address;
        attempt.tokensToPrefill = selection->tokensToPrefill;
        if (context.service != nullptr && context.service->engine)
            attempt.expectedFirstTokenMs = selection->firstTokenMs;
        if (isTooLate(context, attempt, time))
            return refuseNotRun("too-late", "no upstream can complete the request before its deadline");
        const UpstreamCandidate &candidate = candidates[selection->candidate];
        attempt.hadNoQueue = candidate.tokensToPrefill < 1 && !candidate.inColdStart;
        if (selection->source)
            attempt.fetchFrom = m_state.catalog.find(candidates[*selection->source].upstream)->entry.address;
        // The limiter allowed this when the candidates were collected, and its state hasn't changed since.
        if (isInColdStart(context, record, time))
            m_state.coldStartLimiter.recordSend(attempt.upstream, time);
        return std::nullopt;
    }
    return refuseNotRun("no-upstream", "no upstream of the service can accept the request now");
}

} // namespace chestnutsill
