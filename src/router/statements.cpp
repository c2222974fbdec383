#include "chestnutsill/router/router.h"

#include "chestnutsill/clock.h"
#include "chestnutsill/observe/log.h"
#include "requestcontext.h"

#include <algorithm>

namespace chestnutsill {

void Router::recordStatements(const std::string &upstream, std::int64_t startUnixMs,
                              const UpstreamResponse &response)
{
    using Outcome = UpstreamResponse::Outcome;
    const bool isOther = !response.upstream.empty() && response.upstream != upstream;
    if (isOther || response.outcome == Outcome::Stray || response.outcome == Outcome::OtherIncarnation)
        return;
    if (response.leaving && m_state.catalog.recordLeaving(upstream, startUnixMs))
        log(LogLevel::Info, "upstream-leaving", {{"upstream", upstream}});
    if (!response.malformedPause.empty())
        log(LogLevel::Warning, "upstream-pause-malformed",
            {{"upstream", upstream}, {"value", response.malformedPause}});
    if (response.pause) {
        const Instant time = now();
        const Instant until = m_state.upstreamPauses.record(upstream, startUnixMs, *response.pause, time);
        log(LogLevel::Info, "upstream-paused",
            {{"upstream", upstream},
             {"statedMs", static_cast<std::int64_t>(response.pause->count())},
             {"pauseMs", std::chrono::duration<double, std::milli>(until - time).count()}});
    }
}

std::optional<Instant> Router::pausedUntil(const UpstreamRecord &record, Instant time) const
{
    return m_state.upstreamPauses.pausedUntil(record.entry.id, record.entry.startUnixMs, time);
}

void Router::recordBrittleness(const RequestContext &context, const UpstreamAttempt &attempt,
                               const UpstreamResponse &response, int status)
{
    using Outcome = UpstreamResponse::Outcome;
    if (response.outcome == Outcome::Stray || response.outcome == Outcome::OtherIncarnation)
        return;
    BrittleUpstreams &brittle = m_state.brittleUpstreams;
    if (!response.malformedRejectionRate.empty()) {
        log(LogLevel::Warning, "upstream-brittle-malformed",
            {{"upstream", attempt.upstream}, {"value", response.malformedRejectionRate}});
    } else if (response.maxRejectionRate) {
        if (brittle.recordNamed(context.serviceName, *response.maxRejectionRate, now())) {
            log(LogLevel::Info, "upstreams-brittle",
                {{"service", context.serviceName},
                 {"upstream", attempt.upstream},
                 {"rejectionsPerSecond", *response.maxRejectionRate}});
        }
    } else if (response.outcome == Outcome::Answer && status < FirstServerError) {
        brittle.recordUnnamed(context.serviceName, attempt.upstream, attempt.sentAt);
    }
    if (response.outcome == Outcome::NotRun)
        brittle.recordRejected(context.serviceName, attempt.upstream, m_state.membership.size(now()), now());
}

bool Router::hasRoom(const UpstreamRecord &record, Instant time) const
{
    const std::string &id = record.entry.id;
    if (!m_state.brittleUpstreams.isBrittle(record.entry.service, id))
        return true;
    const UpstreamRoom room{m_state.loadTable.own(id).running, m_state.loadTable.total(id, time).running,
                            record.entry.slots};
    return m_state.brittleUpstreams.mayBegin(record.entry.service, id, room, m_settings.instance,
                                             m_state.membership.size(time), time);
}

bool Router::lacksRoom(const RequestContext &context, Instant time) const
{
    if (m_state.brittleUpstreams.empty())
        return false;
    const auto upstreams = m_state.catalog.usableUpstreams(context.serviceName);
    return std::any_of(upstreams.begin(), upstreams.end(), [&](const UpstreamRecord *record) {
        const bool wasTried =
            std::find(context.triedUpstreams.begin(), context.triedUpstreams.end(), record->entry.id)
            != context.triedUpstreams.end();
        return !wasTried && !hasRoom(*record, time);
    });
}

void Router::recordRequestRate(const UpstreamAttempt &attempt, const UpstreamResponse &response, int status)
{
    using Outcome = UpstreamResponse::Outcome;
    if (response.outcome == Outcome::Stray || response.outcome == Outcome::OtherIncarnation)
        return;
    if (!response.malformedRate.empty()) {
        log(LogLevel::Warning, "upstream-rate-malformed",
            {{"upstream", attempt.upstream}, {"value", response.malformedRate}});
    } else if (response.maxRequestRate) {
        if (m_state.rateLimits.recordNamed(attempt.upstream, *response.maxRequestRate, now())) {
            log(LogLevel::Info, "upstream-rate-limit",
                {{"upstream", attempt.upstream}, {"perSecond", *response.maxRequestRate}});
        }
    } else if (response.outcome == Outcome::Answer && status < FirstServerError
               && m_state.rateLimits.recordUnnamed(attempt.upstream, attempt.sentAt)) {
        log(LogLevel::Info, "upstream-rate-limit-ended", {{"upstream", attempt.upstream}});
    }
}

} // namespace chestnutsill
