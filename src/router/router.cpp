#include "chestnutsill/router/router.h"

#include "chestnutsill/clock.h"
#include "chestnutsill/observe/log.h"
#include "chestnutsill/policy/crashhistory.h"
#include "chestnutsill/policy/hash.h"
#include "chestnutsill/policy/lateness.h"
#include "handover.h"
#include "requestcontext.h"

#include <algorithm>
#include <array>
#include <span>

namespace chestnutsill {

namespace {

/// Maximum number of upstreams to which one request is sent, even if none of them has run it.
/// `Route::maxAttempts` also limits the attempts that may have run it.
constexpr std::size_t MaxSentAttempts = 4;
/// Maximum number of upstreams tried for one request, including those that refuse the connection. Many do so
/// after a crash of a large part of a service.
constexpr std::size_t MaxTriedUpstreams = 16;
/// Retry-After time sent with 503 refusals, whose causes usually pass quickly.
constexpr milliseconds RetryAfterDelay{250};
/// Minimum Retry-After time sent for a request that crashes upstreams.
constexpr milliseconds MinBanRetryAfter{1000};
/// Timers may fire this much before the deadline for which they were set.
constexpr milliseconds DeadlineTolerance{5};

/// Keys of the shared parts of a prompt. They differ by service, because a part may crash one model only.
std::vector<std::uint64_t> sharedPartsOf(const Prompt &prompt, std::string_view service)
{
    std::vector<std::uint64_t> parts;
    for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i)
        parts.push_back(stableHash(service, prompt.parts[i].id));
    return parts;
}

std::string joined(std::span<const std::string> words)
{
    std::string text;
    for (const std::string &word : words)
        text += (text.empty() ? "" : ",") + word;
    return text;
}

/// Longest pause between the events of the response. For a stream that did not end regularly, the pause until
/// the request ended counts too.
std::optional<Instant> longestGapOf(const RequestContext &context, Instant time)
{
    return context.responseEnded ? context.eventPauses.longest() : context.eventPauses.longestUntil(time);
}

/// Data by which the targets of a request are judged.
RequestCourse courseOf(const RequestContext &context, Verdict verdict, Instant time)
{
    RequestCourse course;
    if (context.route != nullptr) {
        course.target = context.route->target;
        course.gapTarget = context.route->gapTarget;
    }
    if (context.firstByteAt != Instant{})
        course.firstEvent = context.firstByteAt - context.arrivedAt;
    course.total = time - context.arrivedAt;
    course.longestGap = longestGapOf(context, time);
    course.verdict = verdict;
    course.status = context.status;
    course.callerGone = context.callerGone;
    return course;
}

/// Name of a request's class in logs and metrics: the kind and tier of its route.
std::string requestClassOf(const Route *route)
{
    static constexpr std::array<std::string_view, 3> KindNames{"idempotent", "at-most-once", "streaming"};
    if (route == nullptr)
        return "unknown";
    return std::string(KindNames[static_cast<std::size_t>(route->kind)]) + '-' + std::to_string(route->tier);
}

/// What the metrics record of a request that has ended. The result refers to the answer and the class.
Metrics::Request metricsRecordOf(const RequestContext &context, const std::optional<Answer> &answer,
                                 std::string_view requestClass, Instant time)
{
    Metrics::Request record;
    record.requestClass = requestClass;
    record.verdict = toString(answer ? answer->verdict : Verdict::Answered);
    record.reason = answer ? std::string_view(answer->reason) : std::string_view();
    record.totalTime = time - context.arrivedAt;
    record.firstToken =
        context.firstByteAt == Instant{} ? Instant{} : context.firstByteAt - context.arrivedAt;
    record.attained = !answer && context.route != nullptr && record.firstToken <= context.route->target;
    record.tokensIn = context.request.prompt.tokens;
    return record;
}

/// Whether the request may run more than once.
bool isIdempotent(const Route &route)
{
    return route.kind == RouteKind::Idempotent || (route.kind == RouteKind::Streaming && route.resumable);
}

/// Whether this instance ranks first for a key among all live instances, by rendezvous hash.
bool ranksFirst(std::string_view own, std::uint64_t key, std::span<const InstanceStatus> others)
{
    const std::uint64_t rank = stableHash(own, key);
    return std::all_of(others.begin(), others.end(), [&](const InstanceStatus &other) {
        return other.name == own || stableHash(other.name, key) < rank;
    });
}

} // namespace

Router::Router(RouterSettings settings, ProtocolAdapter protocol, RouterState &state)
    : m_settings(std::move(settings))
    , m_protocol(std::move(protocol))
    , m_state(state)
{
    m_state.hedging.setRatio(m_settings.hedgeRatio);
}

void Router::setSettings(RouterSettings settings)
{
    m_settings = std::move(settings);
    m_state.hedging.setRatio(m_settings.hedgeRatio);
}

void Router::handle(Exchange &exchange, const Fiber &fiber)
{
    RequestContext context(exchange);
    if (m_state.leaving)
        exchange.closeAfterResponse();
    serve(context, fiber);
}

void Router::handleHandedOver(Exchange &exchange, const Fiber &fiber)
{
    RequestContext context(exchange);
    context.handedOver = true;
    serve(context, fiber);
}

void Router::serve(RequestContext &context, const Fiber &fiber)
{
    Exchange &exchange = context.exchange;
    context.arrivedAt = now();
    auto decoded = m_protocol.decode(exchange.request());
    if (const auto *error = std::get_if<HttpError>(&decoded)) {
        respond(context, refusal(error->status, Verdict::NotRun, error->reason, error->field, error->message),
                fiber);
        return;
    }
    context.request = std::move(std::get<CallerRequest>(decoded));
    exchange.watchCaller([&context] {
        context.callerGone = true;
        interrupt(context);
    });
    m_requestsInProgress.insert(&context);
    auto answer = resolveRoute(context);
    if (!answer)
        answer = authorize(context);
    if (!answer)
        answer = resolveOrigin(context, fiber);
    if (!answer)
        answer = run(context, fiber);
    if (answer && !context.callerGone) {
        if (context.responseStarted)
            exchange.abort();
        else
            respond(context, *answer, fiber);
    }
    m_requestsInProgress.erase(&context);
    recordOutcome(context, answer);
}

Answer Router::refuseNotRun(std::string_view reason, std::string_view message) const
{
    return refusal(503, Verdict::NotRun, reason, "instance", message);
}

Answer Router::refuseUnknown(int status, std::string_view reason, std::string_view field,
                             std::string_view message) const
{
    if (!m_state.freshness.isWithin(m_settings.maxApplyTime, now()))
        return refuseNotRun("stale-configuration", "the configuration has not been confirmed recently");
    return refusal(status, Verdict::NotRun, reason, field, message);
}

bool Router::isKeyFresh() const
{
    return !m_settings.maxKeyConfirmationAge
           || m_state.freshness.isWithin(*m_settings.maxKeyConfirmationAge, now());
}

std::optional<Answer> Router::resolveRoute(RequestContext &context) const
{
    context.table = m_state.catalog.table();
    if (!context.table)
        return refuseNotRun("no-configuration", "this instance has not loaded a configuration yet");
    context.route = findRoute(*context.table, context.request.host, context.request.target);
    if (context.route == nullptr) {
        return refuseUnknown(404, "no-route", "target", "no route matches the host and path");
    }
    const milliseconds callerTimeout = context.request.callerTimeout.value_or(context.route->timeout);
    context.deadline = context.arrivedAt + std::min(callerTimeout, context.route->timeout);
    setService(context, selectService(*context.route, stableHash(context.request.attemptId)));
    if (mayOutlastProcess(context))
        return refuseLeaving(context);
    return std::nullopt;
}

std::optional<Answer> Router::authorize(RequestContext &context) const
{
    if (context.route->anonymous || context.table->accounts.empty())
        return std::nullopt;
    context.account = findAccount(*context.table, context.request.key);
    if (context.account == nullptr) {
        return refuseUnknown(401, "unknown-key", "key", "no client account holds this key");
    }
    if (!isKeyFresh())
        return refuseNotRun("unconfirmed-key", "the key can't be confirmed as still valid");
    return std::nullopt;
}

std::optional<Answer> Router::run(RequestContext &context, const Fiber &fiber)
{
    context.fingerprint = fingerprintOf(context.account != nullptr ? context.account->name : std::string(),
                                        context.request.target + '\n' + context.request.body);
    context.sharedParts = sharedPartsOf(context.request.prompt, context.serviceName);
    for (;;) {
        if (isSuspectedOfCrashes(context)) {
            if (context.possibleRuns > 0)
                return refusal(
                    502, Verdict::MayHaveRun, "suspected-crash", "upstream",
                    "upstreams crashed repeatedly while running this request or a part of its prompt");
            return refuseNotRun(
                "suspected-crash",
                "upstreams crashed repeatedly while running this request or a part of its prompt");
        }
        std::optional<Answer> answer;
        if (mayHandOver(context) && reachesNone(context) && handOver(context, answer, fiber))
            return answer;
        if (context.handedOver && context.possibleRuns == 0 && reachesNone(context))
            return refuseNotRun(OutOfReach, "this instance reaches no upstream of the service");
        if (isGivenUp(context))
            return answerGivenUp(context);
        UpstreamAttempt attempt;
        if (auto refused = choosePermittedUpstream(context, attempt, fiber)) {
            if (isGivenUp(context))
                return answerGivenUp(context);
            if (context.possibleRuns > 0)
                return refusal(502, Verdict::MayHaveRun, "upstream-failed", "upstream", "an upstream failed");
            return refused;
        }
        if (context.triedUpstreams.empty()) {
            context.expectedFirstTokenMs = attempt.expectedFirstTokenMs;
            context.upstreamSpeed = attempt.speed;
        }
        recordAttempt(context, attempt);
        if (mayHedge(context)) {
            sendHedged(context, attempt, fiber);
        } else {
            send(context, attempt, fiber);
            finishAttempt(context, attempt, fiber);
        }
        if (context.responseEnded && !context.callerGone)
            return std::nullopt;
        if (isGivenUp(context))
            return answerGivenUp(context);
        context.retryTaken = attempt.retryGranted || mayRetry(context, attempt);
        if (context.retryTaken)
            continue;
        if (mayHandOver(context) && reachesNone(context))
            continue;
        if (context.possibleRuns == 0)
            return refuseNotRun(attempt.reason, "no upstream accepted the request");
        if (now() + DeadlineTolerance >= context.deadline)
            return refusal(504, Verdict::MayHaveRun, "deadline", "upstream",
                           "no response arrived before the deadline");
        return refusal(502, Verdict::MayHaveRun, "upstream-failed", "upstream", attempt.reason);
    }
}

void Router::recordAttempt(RequestContext &context, const UpstreamAttempt &attempt)
{
    context.triedUpstreams.push_back(attempt.upstream);
    const bool hasPromptParts = !context.request.prompt.parts.empty();
    m_state.loadTable.recordStart(attempt.upstream, attempt.tokensToPrefill, context.gapSensitive);
    if (hasPromptParts && context.service != nullptr && context.service->engine)
        m_state.prefixCacheIndex.recordSend(attempt.upstream, context.request.prompt,
                                            context.service->engine->cacheTokens);
    m_state.crashTracker.recordStart(attempt.upstream, context.fingerprint, context.sharedParts);
}

bool Router::isSuspectedOfCrashes(RequestContext &context) const
{
    const Instant time = now();
    const auto mayTry = [&](std::uint64_t part) {
        return ranksFirst(m_settings.instance, part, m_state.membership.alive(time));
    };
    const auto until =
        m_state.crashTracker.refusedUntil(context.sharedParts, context.fingerprint, mayTry, time);
    if (!until)
        return false;
    context.retryAfter = std::max(std::chrono::duration_cast<milliseconds>(*until - time), MinBanRetryAfter);
    return true;
}

bool Router::mayRunAgain(const RequestContext &context)
{
    return isIdempotent(*context.route) && context.possibleRuns < context.route->maxAttempts;
}

bool Router::mayTryAnother(const RequestContext &context)
{
    return !isGivenUp(context) && now() < context.deadline
           && context.triedUpstreams.size() < MaxTriedUpstreams && context.sentAttempts < MaxSentAttempts;
}

bool Router::mayRetry(RequestContext &context, const UpstreamAttempt &attempt)
{
    if (!mayTryAnother(context))
        return false;
    const bool hasRun = attempt.verdict != Verdict::NotRun;
    if (hasRun && !mayRunAgain(context))
        return false;
    if (context.responseStarted && (context.eventSplitter.lastEventId().empty() || !context.streamVersion))
        return false;
    // A request that was running at two crashes may be their cause, so this instance doesn't retry it.
    if (m_state.crashTracker.parts().crashCount(context.fingerprint) + 1 >= CrashingParts::MaxStrikes)
        return false;
    // An attempt whose request was not sent put no load on the service and costs no retry budget.
    return !attempt.sent
           || m_state.retryBudget.tryAcquire(context.serviceName, m_state.membership.size(now()), now());
}

void Router::respond(RequestContext &context, const Answer &answer, const Fiber &fiber) const
{
    std::vector<HttpField> fields;
    const milliseconds retryAfter = context.retryAfter.value_or(RetryAfterDelay);
    if (answer.verdict == Verdict::NotRun && answer.status == 503)
        fields = m_protocol.retryAfter(retryAfter);
    if (context.handedOver) {
        fields.push_back({std::string(HandOverVerdictField), std::string(toString(answer.verdict))});
        fields.push_back({std::string(HandOverReasonField), answer.reason});
        fields.push_back({std::string(HandOverRetryField), std::to_string(retryAfter.count())});
    }
    context.status = answer.status;
    context.exchange.respond(answer.status, answer.contentType, answer.body, fields, fiber);
}

void Router::recordOutcome(const RequestContext &context, const std::optional<Answer> &answer)
{
    const Instant time = now();
    const std::string requestClass = requestClassOf(context.route);
    const Verdict verdict = answer ? answer->verdict : Verdict::Answered;
    const Metrics::Request record = metricsRecordOf(context, answer, requestClass, time);
    m_state.metrics.record(record);
    if (context.responseEnded || (answer && answer->reason == "deadline"))
        m_state.routeDurations.record(context.route->name, record.totalTime);
    const RequestCourse course = courseOf(context, verdict, time);
    const Lateness lateness = latenessOf(course);
    // A request that a peer has handed over is counted at that peer, to which its caller is connected.
    if (!context.handedOver)
        m_state.metrics.recordLateness(
            context.route != nullptr ? std::string_view(context.route->name) : std::string_view(),
            context.account != nullptr ? std::string_view(context.account->name) : std::string_view(),
            lateness);
    const auto age = m_state.freshness.age(time);
    log(LogLevel::Info, "request-ended",
        {{"requestId", context.request.attemptId},
         {"class", requestClass},
         {"route", context.route != nullptr ? context.route->name : std::string()},
         {"account", context.account != nullptr ? context.account->name : std::string()},
         {"verdict", std::string(toString(verdict))},
         {"status", static_cast<std::int64_t>(context.status)},
         {"reason", answer ? answer->reason : std::string()},
         {"upstream", context.triedUpstreams.empty() ? std::string() : context.triedUpstreams.back()},
         {"attempts", static_cast<std::int64_t>(context.triedUpstreams.size())},
         {"hedged", context.hedged},
         {"hedgeWon", context.hedgeWon},
         {"hedgeDelayMs", context.hedged ? toMs(context.hedgeDelay) : -1.0},
         {"handedOver", context.handedOver},
         {"handedOverTo", context.handedOverTo},
         {"eventVersions", joined(context.eventVersions)},
         {"streamVersion", context.streamVersion.value_or(std::string())},
         {"resumes", context.request.resumedAttemptId},
         {"lastEventId", context.request.lastEventId},
         {"upstreamFraming", std::string(context.upstreamFraming)},
         {"events", static_cast<std::int64_t>(context.eventSplitter.eventCount())},
         {"pendingBytes", static_cast<std::int64_t>(context.eventSplitter.pendingBytes().size())},
         {"expectedFirstTokenMs", context.expectedFirstTokenMs},
         {"heldMs", toMs(context.heldFor)},
         {"heldReason", std::string(toString(context.heldReason))},
         {"upstreamSpeed", context.upstreamSpeed},
         {"sentMs", context.lastSentAt == Instant{} ? -1.0 : toMs(context.lastSentAt - context.arrivedAt)},
         {"firstByteMs", toMs(record.firstToken)},
         {"longestGapMs", course.longestGap ? toMs(*course.longestGap) : -1.0},
         {"gapTargetMs", static_cast<std::int64_t>(course.gapTarget.count())},
         {"firstEventLate", lateness.lateFirst},
         {"gapLate", lateness.lateGap},
         {"wholeMs", toMs(record.totalTime)},
         {"configVersion", static_cast<std::int64_t>(context.table ? context.table->version : 0)},
         {"configAgeMs", age ? toMs(*age) : -1.0}});
}

} // namespace chestnutsill
