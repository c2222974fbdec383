#include "chestnutsill/router/router.h"

#include "chestnutsill/clock.h"
#include "chestnutsill/observe/log.h"
#include "chestnutsill/policy/hash.h"
#include "requestcontext.h"

#include <algorithm>
#include <array>

namespace chestnutsill {

namespace {

/// Most upstreams asked for one request when each says that it has not run it.
constexpr std::size_t MaxTries = 4;
/// Pause after which callers that were refused for want of something short-lived may return.
constexpr milliseconds ShortPause{250};
/// Timers may fire this much before the end that they were set for.
constexpr milliseconds EndSlack{5};

/// Whether a second run of the request does no harm.
bool isIdempotent(const Route &route)
{
    return route.kind == RouteKind::Idempotent || (route.kind == RouteKind::Streaming && route.resumable);
}

} // namespace

Router::Router(RouterSettings settings, ProtocolAdapter wire, RouterState &state)
    : m_settings(std::move(settings))
    , m_wire(std::move(wire))
    , m_state(state)
{}

void Router::handle(Exchange &exchange, const Fiber &fiber)
{
    RequestContext call(exchange);
    call.arrivedAt = now();
    if (m_state.leaving)
        exchange.closeAfterResponse();
    auto decoded = m_wire.decode(exchange.request());
    if (const auto *fault = std::get_if<HttpError>(&decoded)) {
        respond(call, refusal(fault->status, Verdict::NotRun, fault->reason, fault->field, fault->message),
                fiber);
        return;
    }
    call.request = std::move(std::get<CallerRequest>(decoded));
    exchange.watchCaller([&call] {
        call.callerGone = true;
        if (call.active != nullptr)
            call.active->reset();
    });
    auto answer = identify(call);
    if (!answer)
        answer = authorize(call);
    if (!answer)
        answer = run(call, fiber);
    if (answer && !call.callerGone) {
        if (call.started)
            exchange.abort();
        else
            respond(call, *answer, fiber);
    }
    account(call, answer);
}

Answer Router::notRun(std::string_view reason, std::string_view message) const
{
    return refusal(503, Verdict::NotRun, reason, "instance", message);
}

Answer Router::refuseUnknown(int status, std::string_view reason, std::string_view field,
                             std::string_view message) const
{
    if (!m_state.freshness.isWithin(m_settings.maxApplyTime, now()))
        return notRun("stale-configuration", "the configuration has not been confirmed lately");
    return refusal(status, Verdict::NotRun, reason, field, message);
}

bool Router::isKeyFresh() const
{
    return !m_settings.maxKeyConfirmationAge
           || m_state.freshness.isWithin(*m_settings.maxKeyConfirmationAge, now());
}

std::optional<Answer> Router::identify(RequestContext &call) const
{
    call.table = m_state.catalog.table();
    if (m_state.rejectsRequests)
        return notRun("leaving", "this instance is about to stop");
    if (!call.table)
        return notRun("no-configuration", "this instance has not read a configuration yet");
    call.route = findRoute(*call.table, call.request.host, call.request.target);
    if (call.route == nullptr) {
        return refuseUnknown(404, "no-route", "target", "no route matches the host and path");
    }
    const milliseconds callerTimeout = call.request.callerTimeout.value_or(call.route->timeout);
    call.endBy = call.arrivedAt + std::min(callerTimeout, call.route->timeout);
    call.serviceName = pickService(*call.route, stableHash(call.request.attemptId));
    const auto service = call.table->services.find(call.serviceName);
    call.service = service == call.table->services.end() ? nullptr : &service->second;
    return std::nullopt;
}

std::optional<Answer> Router::authorize(RequestContext &call) const
{
    if (call.route->anonymous || call.table->accounts.empty())
        return std::nullopt;
    call.account = findAccount(*call.table, call.request.key);
    if (call.account == nullptr) {
        return refuseUnknown(401, "unknown-key", "key", "no client account holds this key");
    }
    if (!isKeyFresh())
        return notRun("unconfirmed-key", "it can't be shown that the key is still valid");
    return std::nullopt;
}

std::optional<Answer> Router::run(RequestContext &call, const Fiber &fiber)
{
    m_state.retryBudget.earn(call.serviceName, now());
    call.fingerprint = fingerprintOf(call.account != nullptr ? call.account->name : std::string(),
                                     call.request.target + '\n' + call.request.body);
    for (;;) {
        if (m_state.crashTracker.strikes(call.fingerprint, now()) >= CrashTracker::MostStrikes)
            return notRun("suspected-crash", "upstreams crashed each time that they ran this request");
        UpstreamAttempt attempt;
        if (auto refused = choose(call, attempt)) {
            if (call.possibleRuns > 0)
                return refusal(502, Verdict::MayHaveRun, "upstream-failed", "upstream", "an upstream failed");
            return refused;
        }
        call.tried.push_back(attempt.upstream);
        const bool isSession = !call.request.prompt.parts.empty();
        m_state.loadTable.begin(attempt.upstream, attempt.unreadTokens);
        if (isSession && call.service != nullptr && call.service->engine)
            m_state.prefixCaches.store(attempt.upstream, call.request.prompt,
                                       call.service->engine->cacheTokens);
        m_state.crashTracker.begin(attempt.upstream, call.fingerprint);
        send(call, attempt, fiber);
        finishAttempt(call, attempt, fiber);
        if (call.callerGone)
            return refusal(502, Verdict::MayHaveRun, "caller-gone", "caller",
                           "the caller has closed its connection");
        if (call.ended)
            return std::nullopt;
        if (attempt.repeatGranted || mayRepeat(call, attempt))
            continue;
        if (call.possibleRuns == 0)
            return notRun(attempt.reason, "no upstream took the request");
        if (now() + EndSlack >= call.endBy)
            return refusal(504, Verdict::MayHaveRun, "deadline", "upstream", "no answer came in time");
        return refusal(502, Verdict::MayHaveRun, "upstream-failed", "upstream", attempt.reason);
    }
}

bool Router::mayRepeat(RequestContext &call, const UpstreamAttempt &attempt)
{
    if (call.callerGone || now() >= call.endBy || call.tried.size() >= MaxTries)
        return false;
    const bool hasRun = attempt.verdict != Verdict::NotRun;
    if (hasRun && (!isIdempotent(*call.route) || call.possibleRuns >= call.route->maxAttempts))
        return false;
    if (call.started && call.events.lastId().empty())
        return false;
    // A request that was running at two crashes may be what crashes upstreams.
    if (m_state.crashTracker.strikes(call.fingerprint, now()) + 1 >= CrashTracker::MostStrikes)
        return false;
    // A connection that was not opened is no load on the service.
    return !attempt.sent
           || m_state.retryBudget.spend(call.serviceName, m_state.membership.size(now()), now());
}

void Router::respond(RequestContext &call, const Answer &answer, const Fiber &fiber) const
{
    std::vector<HttpField> fields;
    if (answer.verdict == Verdict::NotRun && answer.status == 503)
        fields = m_wire.retryAfter(ShortPause);
    call.status = answer.status;
    call.exchange.respond(answer.status, answer.contentType, answer.body, fields, fiber);
}

void Router::account(const RequestContext &call, const std::optional<Answer> &answer)
{
    static constexpr std::array<std::string_view, 3> KindNames{"idempotent", "at-most-once", "streaming"};
    const Instant time = now();
    const std::string requestClass = call.route == nullptr
                                         ? "unknown"
                                         : std::string(KindNames[static_cast<std::size_t>(call.route->kind)])
                                               + '-' + std::to_string(call.route->tier);
    const Verdict verdict = answer ? answer->verdict : Verdict::Answered;
    Metrics::Request record;
    record.requestClass = requestClass;
    record.verdict = toString(verdict);
    record.reason = answer ? std::string_view(answer->reason) : std::string_view();
    record.totalTime = time - call.arrivedAt;
    record.firstToken = call.firstByteAt == Instant{} ? Instant{} : call.firstByteAt - call.arrivedAt;
    record.attained = !answer && call.route != nullptr && record.firstToken <= call.route->target;
    record.tokensIn = call.request.prompt.tokens;
    m_state.metrics.record(record);
    const auto age = m_state.freshness.age(time);
    log(LogLevel::Info, "request-ended",
        {{"requestId", call.request.attemptId},
         {"class", requestClass},
         {"route", call.route != nullptr ? call.route->name : std::string()},
         {"account", call.account != nullptr ? call.account->name : std::string()},
         {"verdict", std::string(toString(verdict))},
         {"status", static_cast<std::int64_t>(call.status)},
         {"reason", answer ? answer->reason : std::string()},
         {"upstream", call.tried.empty() ? std::string() : call.tried.back()},
         {"attempts", static_cast<std::int64_t>(call.tried.size())},
         {"firstByteMs", std::chrono::duration<double, std::milli>(record.firstToken).count()},
         {"wholeMs", std::chrono::duration<double, std::milli>(record.totalTime).count()},
         {"configVersion", static_cast<std::int64_t>(call.table ? call.table->version : 0)},
         {"configAgeMs", age ? std::chrono::duration<double, std::milli>(*age).count() : -1.0}});
}

} // namespace chestnutsill
