#include "chestnutsill/router/router.h"

#include "chestnutsill/clock.h"
#include "requestcontext.h"

#include <algorithm>

namespace chestnutsill {

namespace {

std::uint64_t streamKeyOf(const RequestContext &context)
{
    const CallerRequest &request = context.request;
    return chestnutsill::streamKeyOf(
        context.account != nullptr ? std::string_view(context.account->name) : std::string_view(),
        request.resumedAttemptId.empty() ? request.attemptId : request.resumedAttemptId);
}

} // namespace

std::optional<Answer> Router::resolveOrigin(RequestContext &context, const Fiber &fiber)
{
    if (!takesUpStream(context))
        return std::nullopt;
    std::optional<StreamOrigin> origin;
    if (!context.request.resumedAttemptId.empty()) {
        const std::uint64_t stream = streamKeyOf(context);
        origin = m_state.streamOrigins.find(stream, now());
        if (!origin && m_state.requestOrigin)
            origin = m_state.requestOrigin(stream, fiber);
    }
    if (!origin)
        return refuseNotRun("unknown-stream", "it is not known which software version began the stream");
    const auto &services = context.route->services;
    if (std::none_of(services.begin(), services.end(),
                     [&](const auto &part) { return part.service == origin->service; }))
        return refuseNotRun("stream-moved", "the route no longer uses the service that began the stream");
    setService(context, origin->service);
    context.streamVersion = origin->softwareVersion;
    return std::nullopt;
}

bool Router::isVersionCertain(const UpstreamAttempt &attempt) const
{
    const UpstreamRecord *record = m_state.catalog.find(attempt.upstream);
    return record != nullptr && record->entry.startUnixMs == attempt.startUnixMs
           && record->entry.softwareVersion == attempt.softwareVersion
           && m_state.catalog.describesProcess(*record, attempt.client->connectedAt(), now());
}

bool Router::beginEvents(RequestContext &context, const UpstreamAttempt &attempt)
{
    context.eventVersions.push_back(attempt.softwareVersion);
    // An upstream whose entry has been removed finishes what it runs.
    const bool isRemoved = m_state.catalog.find(attempt.upstream) == nullptr;
    if (!attempt.versionIsCertain || (!isRemoved && !isVersionCertain(attempt)))
        return !context.streamVersion;
    if (!context.route->resumable)
        return true;
    context.streamVersion = attempt.softwareVersion;
    const StreamOrigin origin{context.serviceName, attempt.softwareVersion};
    const std::uint64_t stream = streamKeyOf(context);
    m_state.streamOrigins.record(stream, origin, now());
    if (m_state.tellOrigin)
        m_state.tellOrigin(stream, origin);
    return true;
}

} // namespace chestnutsill
