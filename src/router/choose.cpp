#include "chestnutsill/router/router.h"

#include "chestnutsill/clock.h"
#include "chestnutsill/policy/hash.h"
#include "requestcontext.h"

#include <algorithm>

namespace chestnutsill {

namespace {

/// Whether the streams of a route bear no longer pauses than those of any other route of the service.
bool bearsNoPause(const RequestContext &call)
{
    milliseconds shortest = milliseconds::max();
    for (const Route &route : call.table->routes) {
        const bool sameService =
            std::any_of(route.services.begin(), route.services.end(),
                        [&](const auto &part) { return part.service == call.serviceName; });
        if (sameService && route.pauseTarget > milliseconds(0))
            shortest = std::min(shortest, route.pauseTarget);
    }
    return isPauseSensitive(static_cast<double>(call.route->pauseTarget.count()),
                            static_cast<double>(shortest.count()));
}

/// Keeps pause-sensitive streams and long prompts apart while there is room.
void preferByPause(const RequestContext &call, std::vector<UpstreamCandidate> &candidates)
{
    if (call.service == nullptr || !call.service->engine)
        return;
    preferBySensitivity(candidates, bearsNoPause(call));
}

/// Whether an upstream bears only few requests yet.
bool isStillCold(const RequestContext &call, const UpstreamRecord &record, Instant time)
{
    return time < record.coldUntil && call.service != nullptr && call.service->coldPerSecond > 0;
}

/// The names of all live instances, this one included.
std::vector<std::string> liveInstances(const RouterState &state, const std::string &own, Instant now)
{
    std::vector<std::string> names{own};
    for (const InstanceStatus &instance : state.membership.alive(now))
        names.push_back(instance.name);
    return names;
}

} // namespace

std::vector<UpstreamCandidate> Router::candidates(const RequestContext &call, Instant time) const
{
    std::vector<UpstreamCandidate> found;
    std::vector<std::string> instances;
    for (const UpstreamRecord *record : m_state.catalog.usable(call.serviceName)) {
        const std::string &id = record->entry.id;
        const bool wasTried = std::find(call.tried.begin(), call.tried.end(), id) != call.tried.end();
        if (wasTried || m_state.outlierDetector.isOut(id, time))
            continue;
        const bool isCold = isStillCold(call, *record, time);
        if (isCold) {
            if (instances.empty())
                instances = liveInstances(m_state, m_settings.instance, time);
            if (!m_state.coldStartLimiter.maySend(id, call.service->coldPerSecond, m_settings.instance,
                                                  instances, time))
                continue;
        }
        const Load load = m_state.loadTable.total(id, time);
        const CachedTokens held = m_state.prefixCaches.held(id, call.request.prompt);
        found.push_back({.upstream = id,
                         .slots = record->entry.slots,
                         .running = load.running,
                         .unreadTokens = load.unreadTokens,
                         .cachedTokens = held.cached,
                         .readTokens = held.read,
                         .failureShare = m_state.outlierDetector.failureShare(id, time),
                         .scarce = isCold,
                         .sameZone = record->entry.zone == m_settings.zone});
    }
    return found;
}

std::optional<Answer> Router::choose(RequestContext &call, UpstreamAttempt &attempt)
{
    const Instant time = now();
    if (time >= call.endBy)
        return notRun("deadline", "the time of the request is over");
    m_state.catalog.expire(time);
    auto left = candidates(call, time);
    preferByPause(call, left);
    ServiceTimeModel speed;
    if (call.service != nullptr && call.service->engine)
        speed.fetchTokensPerMs = call.service->engine->fetchTokensPerMs;
    const auto placement =
        selectUpstream(left, call.request.prompt, speed, stableHash(call.request.attemptId));
    if (placement) {
        const UpstreamRecord &record = *m_state.catalog.find(left[placement->candidate].upstream);
        attempt.upstream = record.entry.id;
        attempt.address = record.entry.address;
        attempt.unreadTokens = placement->unreadTokens;
        if (placement->source)
            attempt.fetchFrom = m_state.catalog.find(left[*placement->source].upstream)->entry.address;
        // Nothing has changed since it was found admissible.
        if (isStillCold(call, record, time))
            m_state.coldStartLimiter.recordSend(attempt.upstream, time);
        return std::nullopt;
    }
    return notRun("no-upstream", "no upstream of the service can take the request now");
}

} // namespace chestnutsill
