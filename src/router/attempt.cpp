#include "chestnutsill/router/router.h"

#include "chestnutsill/clock.h"
#include "chestnutsill/observe/log.h"
#include "requestcontext.h"

#include <algorithm>

namespace chestnutsill {

namespace {

/// Longest time to open a connection. Upstreams are a few milliseconds away.
constexpr milliseconds ConnectTimeout{300};
/// Largest answer that is held back until it is whole; a larger one is passed on as it comes.
constexpr std::size_t MaxWholeAnswer = 1 << 20;
/// Responses to other requests that are skipped on one connection.
constexpr int MaxStrays = 3;
/// How long a connection that was opened to probe an upstream is kept for a request.
constexpr milliseconds ProbedIdleLife{300};
/// How long a new connection must last to prove that the upstream lives: a process that is ending still takes
/// some for a few milliseconds and then closes them. Connections that don't last are tried again so often.
constexpr milliseconds ProofPause{20};
constexpr int MaxProbes = 3;
constexpr int FirstServerError = 500;
constexpr int StatusOk = 200;

/// Time left for the request, at least 1 ms.
milliseconds waitFor(const RequestContext &call)
{
    return std::max(std::chrono::duration_cast<milliseconds>(call.endBy - now()), milliseconds(1));
}

void setFailed(UpstreamAttempt &attempt, AttemptResult result, std::string reason)
{
    attempt.broke = result == AttemptResult::Broken && !attempt.client->timedOut();
    attempt.result = result;
    attempt.reason = std::move(reason);
    attempt.verdict = attempt.sent ? Verdict::MayHaveRun : Verdict::NotRun;
}

} // namespace

bool Router::mayStart(const RequestContext &call, const UpstreamAttempt &attempt) const
{
    if (call.callerGone || now() >= call.endBy || !m_state.catalog.mayUse(attempt.upstream))
        return false;
    return call.account == nullptr || isKeyFresh();
}

void Router::send(RequestContext &call, UpstreamAttempt &attempt, const Fiber &fiber)
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
    UpstreamSendOptions order;
    order.upstream = attempt.upstream;
    order.timeLeft = waitFor(call);
    order.account = call.account != nullptr ? std::string_view(call.account->name) : std::string_view();
    if (call.service != nullptr && call.service->engine)
        order.engineRank = engineRank(*call.table, *call.route, call.account);
    order.fetchFrom = attempt.fetchFrom;
    if (call.started)
        order.lastEventId = call.events.lastId();
    const auto fields = m_wire.encode(call.request, order);
    attempt.sent = true;
    ++call.possibleRuns;
    attempt.client->startSend({call.request.method, call.request.target, fields, call.request.body},
                              waitFor(call));
    receive(call, attempt, fiber);
}

void Router::receive(RequestContext &call, UpstreamAttempt &attempt, const Fiber &fiber)
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
                m_state.loadTable.read(attempt.upstream, attempt.unreadTokens);
                if (head->status == StatusOk && !call.request.prompt.parts.empty())
                    m_state.prefixCaches.noteRead(attempt.upstream, call.request.prompt);
            }
            const HttpHead passed{head->status, std::move(reply.fields), head->length, head->keepAlive};
            const bool isStream = call.route->kind == RouteKind::Streaming && head->status == StatusOk;
            if (isStream) {
                relayEvents(call, attempt, passed, fiber);
            } else if (call.started) {
                // Only events can follow those that the caller has got.
                setFailed(attempt, AttemptResult::Failed, "upstream-error");
                reply.maxIdleTime.reset();
            } else {
                relayWhole(call, attempt, passed, fiber);
            }
        } else {
            // The rest of the response is read, so that the connection can be used again.
            std::optional<std::string> piece;
            while ((piece = attempt.client->readPiece(waitFor(call), fiber)) && !piece->empty()) {
            }
            if (!piece)
                reply.maxIdleTime.reset();
            if (reply.meaning == UpstreamReply::Meaning::Stray && piece && head->keepAlive)
                continue;
            attempt.result = AttemptResult::Refused;
            attempt.verdict =
                reply.meaning == UpstreamReply::Meaning::Stray ? Verdict::MayHaveRun : Verdict::NotRun;
            attempt.reason =
                reply.meaning == UpstreamReply::Meaning::NotRun ? "upstream-refused" : "upstream-replaced";
        }
        const bool isWhole = attempt.result != AttemptResult::Broken;
        if (isWhole && reply.maxIdleTime && attempt.client->sendFinished() && attempt.client->isIdle()) {
            call.active = nullptr;
            m_state.connections.keep(attempt.upstream, std::move(attempt.client), *reply.maxIdleTime, now());
        }
        return;
    }
    setFailed(attempt, AttemptResult::Broken, "responses to other requests came instead");
}

void Router::relayWhole(RequestContext &call, UpstreamAttempt &attempt, const HttpHead &head,
                        const Fiber &fiber)
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

void Router::relayEvents(RequestContext &call, UpstreamAttempt &attempt, const HttpHead &head,
                         const Fiber &fiber)
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

void Router::finishAttempt(RequestContext &call, UpstreamAttempt &attempt, const Fiber &fiber)
{
    const Instant time = now();
    if (!attempt.firstByteSeen)
        m_state.loadTable.read(attempt.upstream, attempt.unreadTokens);
    m_state.loadTable.end(attempt.upstream);
    m_state.crashTracker.end(attempt.upstream, call.fingerprint, attempt.broke && !call.callerGone, time);
    call.active = nullptr;
    // What is left of an abandoned request must not reach the upstream any more.
    if (attempt.client && attempt.sent && !call.ended)
        attempt.client->reset();
    if (attempt.sent && attempt.verdict == Verdict::NotRun)
        --call.possibleRuns;
    if (call.callerGone)
        return;
    m_state.outlierDetector.record(attempt.upstream, attempt.result, time);
    if (attempt.result == AttemptResult::Served)
        m_state.crashTracker.completed(call.fingerprint);
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
    m_state.prefixCaches.forget(upstream);
    const UpstreamRecord *record = m_state.catalog.find(upstream);
    const std::string incarnation = std::to_string(record != nullptr ? record->entry.bornMs : 0);
    const std::size_t running = m_state.crashTracker.crashed(upstream, incarnation, time);
    if (running == 0)
        return;
    log(LogLevel::Warning, "upstream-crashed",
        {{"upstream", upstream}, {"running", static_cast<std::int64_t>(running)}});
    if (m_state.notifyPeers)
        m_state.notifyPeers();
}

void Router::probe(const std::string &upstream, const std::string &address, const Fiber &fiber)
{
    // A connection that breaks may be the upstream's end or only its own; a new one tells which. The caller
    // waits for it, so that a request that crashes upstreams is known to all peers before it can be sent
    // again.
    if (!m_probing.insert(upstream).second)
        return;
    for (int probes = 0; probes < MaxProbes; ++probes) {
        auto client = std::make_unique<HttpClient>();
        if (!client->connect(address, ConnectTimeout, fiber)) {
            m_state.outlierDetector.record(upstream, AttemptResult::Unreachable, now());
            noteUnreachable(upstream, !client->timedOut());
            break;
        }
        sleepFor(ProofPause, fiber);
        if (client->isIdle()) {
            m_state.connections.keep(upstream, std::move(client), ProbedIdleLife, now());
            break;
        }
    }
    m_probing.erase(upstream);
}

} // namespace chestnutsill
