#include "chestnutsill/clock.h"
#include "chestnutsill/observe/log.h"
#include "chestnutsill/router/router.h"
#include "requestcontext.h"

#include <algorithm>

namespace chestnutsill {

namespace {

/// Retry-After time of a refusal by an instance that is about to stop, while another one serves, and while
/// none does.
constexpr milliseconds LeavingRetryAfter{20};
constexpr milliseconds DefaultRetryAfter{250};

} // namespace

bool Router::othersServe() const
{
    const auto others = m_state.membership.alive(now());
    return std::any_of(others.begin(), others.end(),
                       [](const InstanceStatus &other) { return other.serving; });
}

bool Router::mayOutlastProcess(const RequestContext &context) const
{
    if (!m_state.leaving)
        return false;
    const LateRequest request{context.deadline, m_state.routeDurations.longest(context.route->name),
                              othersServe()};
    return !mayAccept(*m_state.leaving, request, now());
}

Answer Router::refuseLeaving(RequestContext &context) const
{
    /// Part of the caller's time left that may pass until it tries again.
    constexpr int RetryDivisor = 3;
    const auto longest = std::chrono::duration_cast<milliseconds>((context.deadline - now()) / RetryDivisor);
    const milliseconds delay = othersServe() ? LeavingRetryAfter : DefaultRetryAfter;
    context.retryAfter = std::clamp(longest, milliseconds(0), delay);
    return refuseNotRun("leaving", "this instance is about to stop");
}

Answer Router::answerGivenUp(RequestContext &context) const
{
    if (context.callerGone)
        return refusal(502, Verdict::MayHaveRun, "caller-gone", "caller", "the caller closed its connection");
    if (context.possibleRuns == 0)
        return refuseLeaving(context);
    return refusal(502, Verdict::MayHaveRun, "leaving", "instance",
                   "this instance has stopped before a complete response arrived");
}

void Router::endRequests()
{
    for (RequestContext *context : m_requestsInProgress) {
        logInProgress(*context);
        context->stopped = true;
        interrupt(*context);
    }
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
