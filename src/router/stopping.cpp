#include "chestnutsill/clock.h"
#include "chestnutsill/observe/log.h"
#include "chestnutsill/router/router.h"
#include "requestcontext.h"

#include <algorithm>

namespace chestnutsill {

namespace {

double toMs(Instant time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

void Router::logRequestsInProgress() const
{
    for (const RequestContext *context : m_requestsInProgress)
        logInProgress(*context);
}

void Router::logInProgress(const RequestContext &context) const
{
    const Instant time = now();
    const std::string upstream =
        context.triedUpstreams.empty() ? std::string() : context.triedUpstreams.back();
    const auto [begin, end] = m_attemptsInProgress.equal_range(upstream);
    const auto current =
        std::find_if(begin, end, [&](const auto &item) { return item.second.context == &context; });
    const UpstreamAttempt *attempt = current == end ? nullptr : current->second.attempt;
    const bool isSent =
        attempt != nullptr || (!context.handedOverTo.empty() && context.activeClient != nullptr);
    const std::string_view phase = context.responseStarted                      ? "relayed"
                                   : attempt != nullptr && attempt->status != 0 ? "begun"
                                   : isSent                                     ? "sent"
                                   : context.route != nullptr                   ? "queued"
                                                                                : "read";
    log(LogLevel::Info, "request-in-progress",
        {{"requestId", context.request.attemptId},
         {"route", context.route != nullptr ? context.route->name : std::string()},
         {"phase", std::string(phase)},
         {"ageMs", toMs(time - context.arrivedAt)},
         {"leftMs", context.route != nullptr ? toMs(context.deadline - time) : -1.0},
         {"relayedBytes", static_cast<std::int64_t>(context.relayedBytes)},
         {"events", static_cast<std::int64_t>(context.eventSplitter.eventCount())},
         {"upstream", upstream},
         {"upstreamSilentMs",
          attempt != nullptr ? toMs(m_state.silenceDetector.silence(upstream, time)) : 0.0},
         {"handedOver", context.handedOver},
         {"handedOverTo", context.handedOverTo}});
}

} // namespace chestnutsill
