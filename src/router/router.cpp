#include "chestnutsill/router/router.h"

#include "chestnutsill/clock.h"
#include "chestnutsill/observe/log.h"
#include "chestnutsill/policy/hash.h"
#include "routedcall.h"

#include <algorithm>
#include <array>

namespace chestnutsill {

namespace {

/// Longest time to open a connection. Upstreams are a few milliseconds away.
constexpr milliseconds ConnectTimeout{300};
/// Most upstreams asked for one request when each says that it has not run it.
constexpr std::size_t MaxTries = 4;
/// Largest answer that is held back until it is whole; a larger one is passed on as it comes.
constexpr std::size_t MaxWholeAnswer = 1 << 20;
/// Responses to other requests that are skipped on one connection.
constexpr int MaxStrays = 3;
/// Pause after which callers that were refused for want of something short-lived may return.
constexpr milliseconds ShortPause{250};
/// Part of the upstreams that pause-sensitive streams go to first.
constexpr double SensitiveShare = 0.25;
/// A route is pause-sensitive when its longest pause on time is under this many times the shortest of its
/// service.
constexpr double SensitiveRatio = 1.5;
/// Timers may fire this much before the end that they were set for.
constexpr milliseconds EndSlack{5};
/// How long a connection that was opened to probe an upstream is kept for a request.
constexpr milliseconds ProbedIdleLife{300};
constexpr int FirstServerError = 500;
constexpr int StatusOk = 200;

milliseconds timeLeft(const RoutedCall &call)
{
    return std::chrono::duration_cast<milliseconds>(call.endBy - now());
}

milliseconds waitFor(const RoutedCall &call)
{
    return std::max(timeLeft(call), milliseconds(1));
}

/// Whether a second run of the request does no harm.
bool isIdempotent(const Route &route)
{
    return route.kind == RouteKind::Idempotent || (route.kind == RouteKind::Streaming && route.resumable);
}

/// Whether the streams of a route bear no longer pauses than those of any other route of the service.
bool isPauseSensitive(const RoutedCall &call)
{
    milliseconds shortest = milliseconds::max();
    for (const Route &route : call.table->routes) {
        const bool sameService =
            std::any_of(route.services.begin(), route.services.end(),
                        [&](const auto &part) { return part.service == call.serviceName; });
        if (sameService && route.pauseTarget > milliseconds(0))
            shortest = std::min(shortest, route.pauseTarget);
    }
    return static_cast<double>(call.route->pauseTarget.count())
           < SensitiveRatio * static_cast<double>(shortest.count());
}

/// Keeps pause-sensitive streams and long prompts apart while there is room.
void preferByPause(const RoutedCall &call, std::vector<PlacingCandidate> &candidates)
{
    if (call.service == nullptr || !call.service->engine)
        return;
    std::vector<std::string_view> ids;
    ids.reserve(candidates.size());
    for (const PlacingCandidate &candidate : candidates)
        ids.push_back(candidate.upstream);
    const auto marks = markForSensitive(ids, SensitiveShare);
    const bool sensitive = isPauseSensitive(call);
    for (std::size_t i = 0; i < candidates.size(); ++i)
        candidates[i].preferred = marks[i] == sensitive;
}

void setFailed(RoutedAttempt &attempt, AttemptResult result, std::string reason)
{
    attempt.broke = result == AttemptResult::Broken && !attempt.client->timedOut();
    attempt.result = result;
    attempt.reason = std::move(reason);
    attempt.verdict = attempt.sent ? Verdict::MayHaveRun : Verdict::NotRun;
}

} // namespace

Router::Router(RouterSettings settings, WireInterface wire, RouterState &state)
    : m_settings(std::move(settings))
    , m_wire(std::move(wire))
    , m_state(state)
{}

void Router::handle(Exchange &exchange, const Fiber &fiber)
{
    RoutedCall call(exchange);
    call.arrivedAt = now();
    if (m_state.leaving)
        exchange.closeAfterResponse();
    auto decoded = m_wire.decode(exchange.request());
    if (const auto *fault = std::get_if<HttpFault>(&decoded)) {
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

bool Router::isKeyFresh() const
{
    return !m_settings.keyAge || m_state.freshness.isWithin(*m_settings.keyAge, now());
}

std::optional<Answer> Router::identify(RoutedCall &call) const
{
    call.table = m_state.catalog.table();
    if (m_state.closed)
        return notRun("leaving", "this instance is about to stop");
    if (!call.table)
        return notRun("no-configuration", "this instance has not read a configuration yet");
    call.route = findRoute(*call.table, call.request.host, call.request.target);
    if (call.route == nullptr) {
        // A newer table may have the route, so only a confirmed one proves that there is none.
        if (!m_state.freshness.isWithin(m_settings.applyWithin, now()))
            return notRun("stale-configuration", "the configuration has not been confirmed lately");
        return refusal(404, Verdict::NotRun, "no-route", "target", "no route matches the host and path");
    }
    const milliseconds patience = call.request.patience.value_or(call.route->timeout);
    call.endBy = call.arrivedAt + std::min(patience, call.route->timeout);
    call.serviceName = pickService(*call.route, stableHash(call.request.attemptId));
    const auto service = call.table->services.find(call.serviceName);
    call.service = service == call.table->services.end() ? nullptr : &service->second;
    return std::nullopt;
}

std::optional<Answer> Router::authorize(RoutedCall &call) const
{
    if (call.route->anonymous || call.table->accounts.empty())
        return std::nullopt;
    call.account = findAccount(*call.table, call.request.key);
    if (call.account == nullptr) {
        if (!m_state.freshness.isWithin(m_settings.applyWithin, now()))
            return notRun("stale-configuration", "the configuration has not been confirmed lately");
        return refusal(401, Verdict::NotRun, "unknown-key", "key", "no client account holds this key");
    }
    if (!isKeyFresh())
        return notRun("unconfirmed-key", "it can't be shown that the key is still valid");
    return std::nullopt;
}

std::optional<Answer> Router::run(RoutedCall &call, const Fiber &fiber)
{
    m_state.repeats.earn(call.serviceName, now());
    call.fingerprint = fingerprintOf(call.account != nullptr ? call.account->name : std::string(),
                                     call.request.target + '\n' + call.request.body);
    for (;;) {
        if (m_state.crashes.strikes(call.fingerprint, now()) >= CrashBook::MostStrikes)
            return notRun("suspected-crash", "upstreams crashed each time that they ran this request");
        RoutedAttempt attempt;
        if (auto refused = choose(call, attempt)) {
            if (call.possibleRuns > 0)
                return refusal(502, Verdict::MayHaveRun, "upstream-failed", "upstream", "an upstream failed");
            return refused;
        }
        call.tried.push_back(attempt.upstream);
        const bool isSession = !call.request.prompt.parts.empty();
        m_state.loads.begin(attempt.upstream, attempt.unreadTokens);
        if (isSession && call.service != nullptr && call.service->engine)
            m_state.parts.store(attempt.upstream, call.request.prompt, call.service->engine->cacheTokens);
        m_state.crashes.begin(attempt.upstream, call.fingerprint);
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

std::optional<Answer> Router::choose(RoutedCall &call, RoutedAttempt &attempt)
{
    const Instant time = now();
    if (time >= call.endBy)
        return notRun("deadline", "the time of the request is over");
    m_state.catalog.expire(time);
    std::vector<const UpstreamRecord *> records;
    std::vector<PlacingCandidate> candidates;
    std::vector<std::string> names;
    for (const UpstreamRecord *record : m_state.catalog.usable(call.serviceName)) {
        const std::string &id = record->entry.id;
        if (m_state.judge.isOut(id, time)
            || std::find(call.tried.begin(), call.tried.end(), id) != call.tried.end())
            continue;
        const Load load = m_state.loads.total(id, time);
        records.push_back(record);
        candidates.push_back({.upstream = id,
                              .slots = record->entry.slots,
                              .running = load.running,
                              .unreadTokens = load.unreadTokens,
                              .cachedTokens = m_state.parts.cachedTokens(id, call.request.prompt),
                              .failureShare = m_state.judge.failureShare(id, time),
                              .sameZone = record->entry.zone == m_settings.zone});
    }
    preferByPause(call, candidates);
    const PlacingSpeed speed;
    while (!candidates.empty()) {
        const auto placement =
            place(candidates, call.request.prompt, speed, stableHash(call.request.attemptId));
        const UpstreamRecord &record = *records[placement->candidate];
        const bool isCold =
            time < record.coldUntil && call.service != nullptr && call.service->coldPerSecond > 0;
        if (isCold && names.empty()) {
            names.push_back(m_settings.instance);
            for (const InstanceNews &instance : m_state.fleet.alive(time))
                names.push_back(instance.name);
        }
        if (!isCold
            || m_state.cold.admit(record.entry.id, call.service->coldPerSecond, m_settings.instance, names,
                                  time)) {
            attempt.upstream = record.entry.id;
            attempt.address = record.entry.address;
            attempt.unreadTokens = placement->unreadTokens;
            attempt.predictedMs = placement->firstTokenMs;
            return std::nullopt;
        }
        records.erase(records.begin() + static_cast<std::ptrdiff_t>(placement->candidate));
        candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(placement->candidate));
    }
    return notRun("no-upstream", "no upstream of the service can take the request now");
}

bool Router::mayStart(const RoutedCall &call, const RoutedAttempt &attempt) const
{
    if (call.callerGone || now() >= call.endBy || !m_state.catalog.mayUse(attempt.upstream))
        return false;
    return call.account == nullptr || isKeyFresh();
}

void Router::send(RoutedCall &call, RoutedAttempt &attempt, const Fiber &fiber)
{
    attempt.client = m_state.connections.take(attempt.upstream, now());
    if (!attempt.client) {
        attempt.client = std::make_unique<HttpClient>();
        call.active = attempt.client.get();
        if (!attempt.client->connect(attempt.address, std::min(ConnectTimeout, waitFor(call)), fiber)) {
            setFailed(attempt, AttemptResult::Unreachable,
                      "connection failed: " + attempt.client->lastReason());
            return;
        }
    }
    call.active = attempt.client.get();
    if (!mayStart(call, attempt)) {
        setFailed(attempt, AttemptResult::Refused, "no longer allowed before the first byte");
        return;
    }
    SendOrder order;
    order.upstream = attempt.upstream;
    order.timeLeft = waitFor(call);
    order.account = call.account != nullptr ? std::string_view(call.account->name) : std::string_view();
    if (call.service != nullptr && call.service->engine)
        order.engineRank = engineRank(*call.table, *call.route, call.account);
    if (call.started)
        order.lastEventId = call.events.lastId();
    const auto fields = m_wire.encode(call.request, order);
    attempt.sent = true;
    ++call.possibleRuns;
    attempt.client->startSend({call.request.method, call.request.target, fields, call.request.body},
                              waitFor(call));
    receive(call, attempt, fiber);
}

void Router::receive(RoutedCall &call, RoutedAttempt &attempt, const Fiber &fiber)
{
    for (int strays = 0; strays <= MaxStrays; ++strays) {
        const auto head = attempt.client->readHead(waitFor(call), fiber);
        if (!head) {
            setFailed(attempt, AttemptResult::Broken, attempt.client->lastReason());
            return;
        }
        auto reply = m_wire.interpret(*head, call.request.attemptId);
        attempt.status = head->status;
        if (reply.meaning == UpstreamReply::Meaning::Answer) {
            if (!attempt.firstByteSeen) {
                attempt.firstByteSeen = true;
                m_state.loads.read(attempt.upstream, attempt.unreadTokens);
            }
            const HttpHead passed{head->status, std::move(reply.fields), head->length, head->keepAlive};
            const bool isStream = call.route->kind == RouteKind::Streaming && head->status == StatusOk;
            if (isStream)
                relayEvents(call, attempt, passed, fiber);
            else
                relayWhole(call, attempt, passed, fiber);
        } else {
            // The rest of the response is read, so that the connection can be used again.
            std::optional<std::string> piece;
            while ((piece = attempt.client->readPiece(waitFor(call), fiber)) && !piece->empty()) {
            }
            if (!piece)
                reply.idleLife.reset();
            if (reply.meaning == UpstreamReply::Meaning::Stray && piece && head->keepAlive)
                continue;
            attempt.result = AttemptResult::Refused;
            attempt.verdict =
                reply.meaning == UpstreamReply::Meaning::Stray ? Verdict::MayHaveRun : Verdict::NotRun;
            attempt.reason =
                reply.meaning == UpstreamReply::Meaning::NotRun ? "upstream-refused" : "upstream-replaced";
        }
        const bool isWhole = attempt.result != AttemptResult::Broken;
        if (isWhole && reply.idleLife && attempt.client->sendFinished() && attempt.client->isIdle()) {
            call.active = nullptr;
            m_state.connections.keep(attempt.upstream, std::move(attempt.client), *reply.idleLife, now());
        }
        return;
    }
    setFailed(attempt, AttemptResult::Broken, "responses to other requests came instead");
}

void Router::relayWhole(RoutedCall &call, RoutedAttempt &attempt, const HttpHead &head, const Fiber &fiber)
{
    std::string body;
    for (;;) {
        auto piece = attempt.client->readPiece(waitFor(call), fiber);
        if (!piece) {
            setFailed(attempt, AttemptResult::Broken, attempt.client->lastReason());
            return;
        }
        if (piece->empty())
            break;
        body += *piece;
        if (body.size() <= MaxWholeAnswer)
            continue;
        if (!call.started) {
            call.started = true;
            call.status = head.status;
            call.exchange.startRelay(head.status, head.fields, head.length, fiber);
        }
        call.exchange.sendPiece(body, fiber);
        body.clear();
    }
    attempt.verdict = Verdict::Answered;
    attempt.result = head.status >= FirstServerError ? AttemptResult::Failed : AttemptResult::Served;
    if (!call.started) {
        if (attempt.result == AttemptResult::Failed && mayRepeat(call, attempt)) {
            attempt.repeatGranted = true;
            attempt.verdict = Verdict::MayHaveRun;
            attempt.reason = "upstream-error";
            return;
        }
        call.started = true;
        call.status = head.status;
        call.firstByteAt = now();
        call.exchange.startRelay(head.status, head.fields, body.size(), fiber);
    }
    call.exchange.sendPiece(body, fiber);
    call.ended = call.exchange.endStream(fiber);
    if (!call.ended)
        call.callerGone = true;
}

void Router::relayEvents(RoutedCall &call, RoutedAttempt &attempt, const HttpHead &head, const Fiber &fiber)
{
    call.events.restart();
    for (;;) {
        const auto piece = attempt.client->readPiece(waitFor(call), fiber);
        if (!piece) {
            setFailed(attempt, AttemptResult::Broken, attempt.client->lastReason());
            return;
        }
        const std::string events =
            piece->empty() ? std::string(call.events.rest()) : call.events.feed(*piece);
        if (!call.started && (!events.empty() || piece->empty())) {
            call.started = true;
            call.status = head.status;
            call.firstByteAt = now();
            call.exchange.startRelay(head.status, head.fields,
                                     call.route->resumable ? std::nullopt : head.length, fiber);
        }
        if (!call.exchange.sendPiece(events, fiber)) {
            call.callerGone = true;
            setFailed(attempt, AttemptResult::Served, "the caller has gone");
            return;
        }
        if (piece->empty())
            break;
    }
    attempt.verdict = Verdict::Answered;
    attempt.result = AttemptResult::Served;
    call.ended = call.exchange.endStream(fiber);
    if (!call.ended)
        call.callerGone = true;
}

bool Router::mayRepeat(RoutedCall &call, const RoutedAttempt &attempt)
{
    if (call.callerGone || now() >= call.endBy || call.tried.size() >= MaxTries)
        return false;
    const bool hasRun = attempt.verdict != Verdict::NotRun;
    if (hasRun && (!isIdempotent(*call.route) || call.possibleRuns >= call.route->maxAttempts))
        return false;
    if (call.started && call.events.lastId().empty())
        return false;
    // A request that was running at two crashes may be what crashes upstreams.
    if (m_state.crashes.strikes(call.fingerprint, now()) + 1 >= CrashBook::MostStrikes)
        return false;
    // A connection that was not opened is no load on the service.
    return !attempt.sent || m_state.repeats.spend(call.serviceName, m_state.fleet.size(now()), now());
}

void Router::finishAttempt(RoutedCall &call, RoutedAttempt &attempt, const Fiber &fiber)
{
    const Instant time = now();
    if (!attempt.firstByteSeen)
        m_state.loads.read(attempt.upstream, attempt.unreadTokens);
    m_state.loads.end(attempt.upstream);
    m_state.crashes.end(attempt.upstream, call.fingerprint, attempt.broke && !call.callerGone, time);
    call.active = nullptr;
    // What is left of an abandoned request must not reach the upstream any more.
    if (attempt.client && attempt.sent && !call.ended)
        attempt.client->reset();
    if (attempt.sent && attempt.verdict == Verdict::NotRun)
        --call.possibleRuns;
    if (call.callerGone)
        return;
    m_state.judge.record(attempt.upstream, attempt.result, time);
    if (attempt.result == AttemptResult::Served)
        m_state.crashes.completed(call.fingerprint);
    if (attempt.result == AttemptResult::Unreachable)
        noteUnreachable(attempt.upstream, !attempt.client->timedOut());
    else if (attempt.broke)
        probe(attempt.upstream, attempt.address, fiber);
    if (attempt.result != AttemptResult::Served) {
        log(LogLevel::Info, "attempt-failed",
            {{"requestId", call.request.attemptId},
             {"upstream", attempt.upstream},
             {"verdict", std::string(toString(attempt.verdict))},
             {"status", static_cast<std::int64_t>(attempt.status)},
             {"reason", attempt.reason}});
    }
}

void Router::noteUnreachable(const std::string &upstream, bool refused)
{
    const Instant time = now();
    m_state.connections.close(upstream);
    // Silence may come from the own link as well; only a refused connection proves that the upstream has
    // ended.
    if (!refused)
        return;
    m_state.catalog.suspectRestart(upstream, time);
    m_state.parts.forget(upstream);
    const UpstreamRecord *record = m_state.catalog.find(upstream);
    const std::string incarnation = std::to_string(record != nullptr ? record->entry.bornMs : 0);
    const std::size_t running = m_state.crashes.crashed(upstream, incarnation, time);
    if (running == 0)
        return;
    log(LogLevel::Warning, "upstream-crashed",
        {{"upstream", upstream}, {"running", static_cast<std::int64_t>(running)}});
    if (m_state.tellPeers)
        m_state.tellPeers();
}

void Router::probe(const std::string &upstream, const std::string &address, const Fiber &fiber)
{
    // A connection that breaks may be the upstream's end or only its own; a new one tells which. The caller
    // waits for it, so that a request that crashes upstreams is known to all peers before it can be sent
    // again.
    if (!m_probing.insert(upstream).second)
        return;
    auto client = std::make_unique<HttpClient>();
    if (client->connect(address, ConnectTimeout, fiber)) {
        m_state.connections.keep(upstream, std::move(client), ProbedIdleLife, now());
    } else {
        m_state.judge.record(upstream, AttemptResult::Unreachable, now());
        noteUnreachable(upstream, !client->timedOut());
    }
    m_probing.erase(upstream);
}

void Router::respond(RoutedCall &call, const Answer &answer, const Fiber &fiber) const
{
    std::vector<HttpField> fields;
    if (answer.verdict == Verdict::NotRun && answer.status == 503)
        fields = m_wire.retryAfter(ShortPause);
    call.status = answer.status;
    call.exchange.respond(answer.status, answer.contentType, answer.body, fields, fiber);
}

void Router::account(const RoutedCall &call, const std::optional<Answer> &answer)
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
    record.whole = time - call.arrivedAt;
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
         {"wholeMs", std::chrono::duration<double, std::milli>(record.whole).count()},
         {"configVersion", static_cast<std::int64_t>(call.table ? call.table->version : 0)},
         {"configAgeMs", age ? std::chrono::duration<double, std::milli>(*age).count() : -1.0}});
}

} // namespace chestnutsill
