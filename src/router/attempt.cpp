#include "chestnutsill/router/router.h"

#include "chestnutsill/clock.h"
#include "chestnutsill/observe/log.h"
#include "requestcontext.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace chestnutsill {

namespace {

/// Timeout for opening a connection. The round trip to an upstream takes a few milliseconds.
constexpr milliseconds ConnectTimeout{300};
/// Responses up to this size are buffered, so that another upstream can be tried after a failure; larger ones
/// are forwarded as they arrive.
constexpr std::size_t MaxBufferedResponseBytes = 1 << 20;
/// Maximum size of the body of a response that is not forwarded, read to keep its connection.
constexpr std::size_t MaxDiscardedBytes = 65'536;
/// Number of responses to other requests that are skipped on one connection.
constexpr int MaxStrayResponses = 3;
/// A caller may close its connection this much before the deadline that this instance has reckoned.
constexpr milliseconds CallerCloseTolerance{100};
/// Time after the first token of a stream after which its prompt is taken not to crash upstreams, which do so
/// when they begin to answer.
constexpr milliseconds MinSurvivalTime{2000};

/// Longest time for passing events on to the caller after which the gap to the next ones is still that of the
/// upstream.
constexpr milliseconds MaxRelayTime{10};
/// Reason of an attempt that this instance has ended for lack of memory.
constexpr std::string_view NoMemory = "this instance has no memory left for the response";

/// Bytes of an incomplete event that fit into what is reserved for each request.
constexpr std::size_t MaxFreePendingBytes = 16'384;
/// Copies of an incomplete event: with the space into which it grows.
constexpr std::size_t PendingCopies = 2;

constexpr int StatusOk = 200;

/// Ids of the shared parts of a prompt, in hexadecimal, separated by commas.
std::string sharedPartIds(const Prompt &prompt)
{
    std::ostringstream ids;
    ids << std::hex;
    for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i)
        ids << (i > 0 ? "," : "") << prompt.parts[i].id;
    return ids.str();
}

/// Time until the deadline of the request, at least 1 ms.
milliseconds remainingTime(const RequestContext &context)
{
    return std::max(std::chrono::duration_cast<milliseconds>(context.deadline - now()), milliseconds(1));
}

/// Reads a piece of the response body. Fails at the deadline of the request, also while bytes keep arriving.
std::optional<std::string> readPiece(RouterState &state, const RequestContext &context,
                                     UpstreamAttempt &attempt, const Fiber &fiber)
{
    if (now() >= context.deadline)
        return std::nullopt;
    auto piece = attempt.client->readPiece(remainingTime(context), fiber);
    if (piece)
        state.silenceDetector.recordBytes(attempt.upstream, now());
    return piece;
}

/// Why reading a response failed.
std::string readFailureReason(const RequestContext &context, const UpstreamAttempt &attempt)
{
    return now() >= context.deadline ? std::string("deadline") : attempt.client->lastReason();
}

/// Reads the rest of a response that is not forwarded, so that its connection can be reused. Returns false if
/// it has no end in time or is too large for that.
bool discardBody(RouterState &state, const RequestContext &context, UpstreamAttempt &attempt,
                 const Fiber &fiber)
{
    std::size_t discarded = 0;
    while (discarded <= MaxDiscardedBytes) {
        const auto piece = readPiece(state, context, attempt, fiber);
        if (!piece)
            return false;
        if (piece->empty())
            return true;
        discarded += piece->size();
    }
    return false;
}

/// Whether the upstream has survived the prompt of an attempt: it sent the whole response, or went on for
/// long after its first token.
bool provesPartsSound(const UpstreamAttempt &attempt, Instant time)
{
    if (attempt.firstTokenAt == Instant{} || attempt.connectionBroke)
        return false;
    return attempt.verdict == Verdict::Answered || time - attempt.firstTokenAt >= MinSurvivalTime;
}

/// How the end of a response is marked, for the log.
std::string_view framingOf(const HttpHead &head)
{
    return head.length ? "length" : head.endsWithConnection ? "connection" : "chunks";
}

/// Whether the end of a response is that of its stream. A length or chunks don't prove it, since an upstream
/// may frame what it has; without them, a connection that ends before the first event proves nothing.
bool isWholeStream(const EventSplitter &splitter, const HttpHead &head)
{
    return splitter.pendingBytes().empty() && (splitter.eventCount() > 0 || !head.endsWithConnection);
}

/// Whether a successful response on a streaming route is a stream. One without a type is taken for it.
bool isEventStream(const HttpHead &head)
{
    constexpr std::string_view Type = "text/event-stream";
    const std::string_view type = head.field("Content-Type");
    return type.empty() || equalsIgnoringCase(type.substr(0, Type.size()), Type);
}

/// Why the incomplete event of a stream can't be kept until its end; empty if it can.
std::string_view pendingEventFault(const RequestContext &context, const UpstreamAttempt &attempt)
{
    const std::size_t pending = context.eventSplitter.pendingBytes().size();
    if (pending > EventSplitter::MaxPendingBytes)
        return "an event of the stream is too large";
    if (pending > MaxFreePendingBytes
        && !context.exchange.reserveMemory(attempt.headMemory + PendingCopies * pending))
        return NoMemory;
    return {};
}

void recordFailure(UpstreamAttempt &attempt, AttemptResult result, std::string reason)
{
    attempt.connectionBroke = result == AttemptResult::Broken && !attempt.client->timedOut()
                              && !attempt.retryGranted && !attempt.cancelled;
    attempt.result = result;
    attempt.reason = attempt.retryGranted ? std::string("the upstream is silent")
                     : attempt.cancelled  ? std::string("another attempt was answered first")
                                          : std::move(reason);
    attempt.verdict = attempt.sent ? Verdict::MayHaveRun : Verdict::NotRun;
}

/// Passes events on to the caller. Returns false if it has gone.
bool relayAttemptEvents(RequestContext &context, UpstreamAttempt &attempt, std::string_view events,
                        const Fiber &fiber)
{
    const Instant relayedFrom = now();
    if (!relayEvents(context, events, carriesData(events), fiber)) {
        context.callerGone = true;
        recordFailure(attempt, AttemptResult::Served, "the caller has gone");
        return false;
    }
    // A gap in which the caller was waited for says nothing of the upstream.
    if (now() - relayedFrom > MaxRelayTime)
        attempt.undisturbedEventAt.reset();
    return true;
}

} // namespace

bool Router::mayStart(const RequestContext &context, const UpstreamAttempt &attempt) const
{
    const Instant time = now();
    const UpstreamRecord *record = m_state.catalog.find(attempt.upstream);
    if (isGivenUp(context) || attempt.cancelled || time >= context.deadline || record == nullptr
        || !m_state.catalog.isUsable(attempt.upstream) || pausedUntil(*record, time))
        return false;
    return context.account == nullptr || isKeyFresh();
}

void Router::send(RequestContext &context, UpstreamAttempt &attempt, const Fiber &fiber)
{
    if (!startAttempt(context, attempt, fiber))
        return;
    if (auto answer = receive(context, attempt, fiber))
        relayAnswer(context, attempt, std::move(*answer), fiber);
}

bool Router::startAttempt(RequestContext &context, UpstreamAttempt &attempt, const Fiber &fiber)
{
    attempt.client = m_state.connections.acquire(attempt.upstream, now());
    if (!attempt.client) {
        attempt.client = std::make_unique<HttpClient>();
        if (m_state.upstreamReach.isCutOff(context.serviceName)) {
            recordFailure(attempt, AttemptResult::Unreachable, "no upstream of the service is reached");
            return false;
        }
        clientOf(context, attempt) = attempt.client.get();
        attempt.opensConnection = true;
        if (!attempt.client->connect(attempt.address, std::min(ConnectTimeout, remainingTime(context)), fiber,
                                     m_settings.sourceAddress)) {
            recordFailure(attempt, AttemptResult::Unreachable,
                          "connection failed: " + attempt.client->lastReason());
            return false;
        }
    }
    clientOf(context, attempt) = attempt.client.get();
    if (!mayStart(context, attempt)) {
        recordFailure(attempt, AttemptResult::Refused, "no longer allowed before the first byte");
        return false;
    }
    attempt.versionIsCertain = isVersionCertain(attempt);
    if (context.streamVersion && !attempt.versionIsCertain) {
        recordFailure(attempt, AttemptResult::Refused, "the upstream may run another software version");
        return false;
    }
    UpstreamSendOptions options;
    options.upstream = attempt.upstream;
    options.timeLeft = remainingTime(context);
    options.account =
        context.account != nullptr ? std::string_view(context.account->name) : std::string_view();
    if (context.service != nullptr && context.service->engine)
        options.engineRank = engineRank(*context.table, *context.route, context.account);
    options.fetchFrom = attempt.fetchFrom;
    if (context.responseStarted)
        options.lastEventId = context.eventSplitter.lastEventId();
    const auto fields = m_protocol.encode(context.request, options);
    attempt.sent = true;
    attempt.sentAt = now();
    context.lastSentAt = attempt.sentAt;
    ++context.possibleRuns;
    ++context.sentAttempts;
    // A request that is handed over counts where it is sent.
    if (!std::exchange(context.countedForRetries, true)) {
        m_state.retryBudget.recordRequest(context.serviceName, attempt.sentAt);
        m_state.hedging.recordRequest(context.serviceName, options.account);
    }
    m_state.silenceDetector.recordSend(
        attempt.upstream,
        std::chrono::duration_cast<Instant>(
            std::chrono::duration<double, std::milli>(attempt.expectedFirstTokenMs)),
        attempt.sentAt);
    m_attemptsInProgress.emplace(attempt.upstream, AttemptInProgress{&context, &attempt});
    attempt.client->startSend({context.request.method, context.request.target, fields, context.request.body},
                              remainingTime(context));
    return true;
}

UpstreamResponse Router::interpretHead(RequestContext &context, UpstreamAttempt &attempt,
                                       const HttpHead &head)
{
    using Outcome = UpstreamResponse::Outcome;
    m_state.silenceDetector.recordBytes(attempt.upstream, now());
    if (attempt.opensConnection)
        m_state.upstreamReach.recordReached(context.serviceName);
    auto response = m_protocol.interpret(head, context.request.attemptId);
    // A refusal that names no attempt may be that of an earlier request, sent once more. On a new connection
    // another incarnation can be told for certain.
    const bool isUnproven = response.outcome == Outcome::NotRun
                            || (response.outcome == Outcome::OtherIncarnation && !attempt.opensConnection);
    if (isUnproven && !response.namesAttempt)
        response.outcome = Outcome::Stray;
    attempt.status = head.status;
    attempt.framing = framingOf(head);
    context.upstreamFraming = attempt.framing;
    recordRequestRate(attempt, response, head.status);
    recordBrittleness(context, attempt, response, head.status);
    recordStatements(attempt.upstream, attempt.startUnixMs, response);
    if (response.outcome != Outcome::Stray && response.namesAttempt)
        recordAlive(attempt);
    return response;
}

std::optional<UpstreamAnswer> Router::receive(RequestContext &context, UpstreamAttempt &attempt,
                                              const Fiber &fiber)
{
    for (int strays = 0; strays <= MaxStrayResponses; ++strays) {
        bool lacksMemory = false;
        auto head = attempt.client->readHead(remainingTime(context), fiber, [&](std::size_t bytes) {
            attempt.headMemory = bytes;
            lacksMemory = !context.exchange.reserveMemory(bytes);
            return !lacksMemory;
        });
        if (!head) {
            recordFailure(attempt, AttemptResult::Broken,
                          lacksMemory ? std::string(NoMemory) : attempt.client->lastReason());
            attempt.connectionBroke = attempt.connectionBroke && !lacksMemory;
            return std::nullopt;
        }
        auto response = interpretHead(context, attempt, *head);
        if (response.outcome == UpstreamResponse::Outcome::Answer) {
            recordAnswerBegun(context, attempt, head->status);
            return UpstreamAnswer{std::move(*head), std::move(response)};
        }
        const bool hasEnded = discardBody(m_state, context, attempt, fiber);
        if (!hasEnded)
            response.maxIdleTime.reset();
        if (response.outcome == UpstreamResponse::Outcome::Stray && hasEnded && head->keepAlive)
            continue;
        attempt.result = response.outcome == UpstreamResponse::Outcome::OtherIncarnation
                             ? AttemptResult::Replaced
                             : AttemptResult::Refused;
        attempt.verdict =
            response.outcome == UpstreamResponse::Outcome::Stray ? Verdict::MayHaveRun : Verdict::NotRun;
        attempt.reason =
            response.outcome == UpstreamResponse::Outcome::NotRun ? "upstream-refused" : "upstream-replaced";
        keepConnection(context, attempt, response.maxIdleTime);
        return std::nullopt;
    }
    recordFailure(attempt, AttemptResult::Broken, "responses to other requests came instead");
    return std::nullopt;
}

void Router::relayAnswer(RequestContext &context, UpstreamAttempt &attempt, UpstreamAnswer answer,
                         const Fiber &fiber)
{
    const HttpHead &head = answer.head;
    auto maxIdleTime = answer.response.maxIdleTime;
    context.upstreamFraming = attempt.framing;
    const HttpHead forwardedHead{head.status, std::move(answer.response.fields), head.length, head.keepAlive,
                                 head.endsWithConnection};
    const bool isStream =
        context.route->kind == RouteKind::Streaming && head.status == StatusOk && isEventStream(head);
    if (isStream) {
        relayEventStream(context, attempt, forwardedHead, fiber);
    } else if (context.responseStarted) {
        // A response that is not an event stream can't continue the events already sent to the caller.
        recordFailure(attempt, AttemptResult::Failed, "upstream-error");
        maxIdleTime.reset();
    } else {
        relayResponse(context, attempt, forwardedHead, fiber);
    }
    keepConnection(context, attempt, maxIdleTime);
}

void Router::keepConnection(RequestContext &context, UpstreamAttempt &attempt,
                            std::optional<milliseconds> maxIdleTime)
{
    const bool isComplete = attempt.result != AttemptResult::Broken && !attempt.cancelled;
    if (!isComplete || !maxIdleTime || !attempt.client->sendFinished() || !attempt.client->isIdle())
        return;
    clientOf(context, attempt) = nullptr;
    m_state.connections.release(attempt.upstream, std::move(attempt.client), *maxIdleTime, now());
}

void Router::recordAlive(const UpstreamAttempt &attempt)
{
    const UpstreamRecord *record = m_state.catalog.find(attempt.upstream);
    const Instant time = now();
    if (record == nullptr || record->entry.startUnixMs != attempt.startUnixMs
        || !m_state.crashTracker.recordAnswer(record->incarnationKey, attempt.client->connectedAt(),
                                              attempt.sentAt, time))
        return;
    m_state.catalog.recordAlive(record->incarnationKey, attempt.sentAt);
    log(LogLevel::Info, "crash-disproved", {{"upstream", attempt.upstream}});
}

void Router::recordAnswerBegun(const RequestContext &context, UpstreamAttempt &attempt, int status)
{
    attempt.firstByteSeen = true;
    recordFirstByte(context, attempt, status);
    m_state.silenceDetector.recordFirstBytes(attempt.upstream);
    m_state.loadTable.recordPrefill(attempt.upstream, attempt.tokensToPrefill);
    if (status != StatusOk)
        return;
    attempt.firstTokenAt = now();
    if (attempt.hadNoQueue)
        recordPrefillTime(context, attempt);
    if (!context.request.prompt.parts.empty())
        m_state.prefixCacheIndex.recordPrefill(attempt.upstream, context.request.prompt);
}

void Router::recordPrefillTime(const RequestContext &context, const UpstreamAttempt &attempt)
{
    const Instant elapsed = attempt.firstTokenAt - attempt.sentAt;
    // The rate of the service is that of an upstream of speed 1, so that a difference isn't learnt twice.
    m_state.prefillRates.record(context.serviceName, attempt.tokensToPrefill,
                                std::chrono::duration_cast<Instant>(
                                    std::chrono::duration<double, std::micro>(elapsed) * attempt.speed));
    if (context.service != nullptr && context.service->engine
        && m_state.upstreamSpeeds.recordFirstToken(
            {context.serviceName, attempt.upstream, attempt.startUnixMs}, attempt.tokensToPrefill, elapsed,
            attempt.firstTokenAt))
        m_state.metrics.add("speed_samples_total", "first-token");
}

void Router::recordEventGap(const RequestContext &context, UpstreamAttempt &attempt, std::size_t count)
{
    if (count == 0 || context.service == nullptr || !context.service->engine)
        return;
    const Instant time = now();
    const Load load = m_state.loadTable.total(attempt.upstream, time);
    const UpstreamRecord *record = m_state.catalog.find(attempt.upstream);
    const bool isUndisturbed = load.tokensToPrefill < 1 && record != nullptr && time >= record->coldUntil;
    if (isUndisturbed && attempt.undisturbedEventAt
        && m_state.upstreamSpeeds.recordGap(
            {context.serviceName, attempt.upstream, attempt.startUnixMs}, context.route->name, load.running,
            (time - *attempt.undisturbedEventAt) / static_cast<Instant::rep>(count), time))
        m_state.metrics.add("speed_samples_total", "gap");
    attempt.undisturbedEventAt = isUndisturbed ? std::optional(time) : std::nullopt;
}

void Router::relayResponse(RequestContext &context, UpstreamAttempt &attempt, const HttpHead &head,
                           const Fiber &fiber)
{
    std::string body;
    for (;;) {
        auto piece = readPiece(m_state, context, attempt, fiber);
        if (!piece) {
            recordFailure(attempt, AttemptResult::Broken, readFailureReason(context, attempt));
            return;
        }
        if (piece->empty())
            break;
        body += *piece;
        if (body.size() <= MaxBufferedResponseBytes
            && context.exchange.reserveMemory(attempt.headMemory + body.capacity()))
            continue;
        if (!context.responseStarted) {
            context.responseStarted = true;
            context.status = head.status;
            context.exchange.startRelay(head.status, head.fields, head.length, fiber);
        }
        relayPiece(context, body, fiber);
        body = {};
    }
    attempt.verdict = Verdict::Answered;
    attempt.result = head.status >= FirstServerError ? AttemptResult::Failed : AttemptResult::Served;
    if (!context.responseStarted) {
        if (attempt.result == AttemptResult::Failed && mayRetry(context, attempt)) {
            attempt.retryGranted = true;
            attempt.verdict = Verdict::MayHaveRun;
            attempt.reason = "upstream-error";
            return;
        }
        context.responseStarted = true;
        context.status = head.status;
        context.firstByteAt = now();
        context.exchange.startRelay(head.status, head.fields, body.size(), fiber);
    }
    relayPiece(context, body, fiber);
    context.responseEnded = context.exchange.endStream(fiber);
    if (!context.responseEnded)
        context.callerGone = true;
}

void Router::relayEventStream(RequestContext &context, UpstreamAttempt &attempt, const HttpHead &head,
                              const Fiber &fiber)
{
    EventSplitter &splitter = context.eventSplitter;
    splitter.reset();
    // The last event that the caller has, from this response or from an earlier one.
    const std::string lastId =
        splitter.lastEventId().empty() ? context.request.lastEventId : splitter.lastEventId();
    bool isProven = !continuesStream(context) || lastId.empty();
    for (;;) {
        const auto piece = readPiece(m_state, context, attempt, fiber);
        if (!piece) {
            recordFailure(attempt, AttemptResult::Broken, readFailureReason(context, attempt));
            return;
        }
        if (piece->empty() && !isWholeStream(splitter, head)) {
            recordFailure(attempt, AttemptResult::Broken,
                          "the stream ended inside an event or before the first");
            return;
        }
        const std::size_t eventsBefore = splitter.eventCount();
        const std::string events = splitter.push(*piece);
        recordEventGap(context, attempt, splitter.eventCount() - eventsBefore);
        const Continuation continuation = isProven ? Continuation::Follows : continuationOf(events, lastId);
        if (continuation == Continuation::Differs) {
            splitter.rewind(lastId);
            recordFailure(attempt, AttemptResult::Broken,
                          "the events don't follow those that the caller has");
            attempt.connectionBroke = false;
            return;
        }
        isProven = continuation == Continuation::Follows;
        if (eventsBefore == 0 && splitter.eventCount() > 0 && !beginEvents(context, attempt)) {
            recordFailure(attempt, AttemptResult::Broken, "the upstream may run another software version");
            attempt.connectionBroke = false;
            return;
        }
        if (const auto fault = pendingEventFault(context, attempt); !fault.empty()) {
            recordFailure(attempt, AttemptResult::Broken, std::string(fault));
            attempt.connectionBroke = attempt.connectionBroke && fault != NoMemory;
            return;
        }
        if (!context.responseStarted && (!events.empty() || piece->empty())) {
            context.responseStarted = true;
            context.status = head.status;
            context.firstByteAt = now();
            context.exchange.startRelay(head.status, head.fields,
                                        context.route->resumable ? std::nullopt : head.length, fiber);
        }
        if (!relayAttemptEvents(context, attempt, events, fiber))
            return;
        if (piece->empty())
            break;
    }
    attempt.verdict = Verdict::Answered;
    attempt.result = AttemptResult::Served;
    context.responseEnded = context.exchange.endStream(fiber);
    if (!context.responseEnded)
        context.callerGone = true;
}

void Router::recordTimes(const RequestContext &context, const UpstreamAttempt &attempt)
{
    if (!attempt.sent || attempt.cancelled || attempt.expectedFirstTokenMs <= 0
        || context.route->kind != RouteKind::Streaming)
        return;
    const auto expected = std::chrono::duration_cast<Instant>(
        std::chrono::duration<double, std::milli>(attempt.expectedFirstTokenMs));
    const Instant time = now();
    const bool missedDeadline = time + CallerCloseTolerance >= context.deadline;
    if (attempt.firstTokenAt != Instant{} || missedDeadline) {
        const Instant until = attempt.firstTokenAt != Instant{} ? attempt.firstTokenAt : time;
        m_state.deadlineEstimator.recordFirstToken(context.route->name, expected, until - attempt.sentAt,
                                                   context.deadline - attempt.sentAt);
    }
    if (attempt.result == AttemptResult::Served && context.responseEnded)
        m_state.deadlineEstimator.recordStream(context.route->name, time - attempt.firstTokenAt);
}

void Router::finishAttempt(RequestContext &context, UpstreamAttempt &attempt, const Fiber &fiber)
{
    const Instant time = now();
    const auto [begin, end] = m_attemptsInProgress.equal_range(attempt.upstream);
    const auto inProgress =
        std::find_if(begin, end, [&](const auto &item) { return item.second.attempt == &attempt; });
    if (inProgress != end)
        m_attemptsInProgress.erase(inProgress);
    recordWait(context, attempt, time);
    if (!attempt.firstByteSeen)
        m_state.loadTable.recordPrefill(attempt.upstream, attempt.tokensToPrefill);
    m_state.loadTable.recordEnd(attempt.upstream, context.gapSensitive);
    attempt.upstreamSilence = m_state.silenceDetector.silence(attempt.upstream, time);
    if (attempt.sent)
        m_state.silenceDetector.recordEnd(attempt.upstream, attempt.firstByteSeen);
    m_state.crashTracker.recordEnd(attempt.upstream, context.fingerprint,
                                   attempt.connectionBroke && !isGivenUp(context), time);
    clientOf(context, attempt) = nullptr;
    // The unsent rest of an abandoned request must not reach the upstream.
    if (attempt.client && attempt.sent && (!context.responseEnded || attempt.cancelled))
        attempt.client->reset();
    if (attempt.sent && attempt.verdict == Verdict::NotRun)
        --context.possibleRuns;
    recordTimes(context, attempt);
    if (provesPartsSound(attempt, time))
        m_state.crashTracker.recordPartsServed(context.sharedParts, time);
    if (attempt.result != AttemptResult::Served) {
        log(LogLevel::Info, attempt.cancelled ? "attempt-cancelled" : "attempt-failed",
            {{"requestId", context.request.attemptId},
             {"upstream", attempt.upstream},
             {"softwareVersion", attempt.softwareVersion},
             {"verdict", std::string(toString(attempt.verdict))},
             {"status", static_cast<std::int64_t>(attempt.status)},
             {"reason", context.callerGone ? std::string("caller-gone")
                        : context.stopped  ? std::string("leaving")
                                           : attempt.reason},
             {"framing", std::string(attempt.framing)},
             {"events", static_cast<std::int64_t>(context.eventSplitter.eventCount())},
             {"pendingBytes", static_cast<std::int64_t>(context.eventSplitter.pendingBytes().size())},
             {"sentMs", attempt.sent ? toMs(time - attempt.sentAt) : 0.0},
             {"upstreamSilentMs", toMs(attempt.upstreamSilence)},
             {"fingerprint", attempt.connectionBroke ? std::to_string(context.fingerprint) : std::string()},
             {"sharedParts",
              attempt.connectionBroke ? sharedPartIds(context.request.prompt) : std::string()}});
    }
    if (isGivenUp(context) || attempt.cancelled)
        return;
    m_state.outlierDetector.record(attempt.upstream, attempt.result, time);
    if (attempt.result == AttemptResult::Unreachable
        || (attempt.opensConnection && attempt.connectionBroke && attempt.status == 0))
        m_state.upstreamReach.recordUnreached(context.serviceName, attempt.upstream, time);
    if (attempt.result == AttemptResult::Served)
        m_state.crashTracker.recordCompletion(context.fingerprint, time);
    if (attempt.result == AttemptResult::Unreachable)
        handleUnreachable(attempt.upstream, !attempt.client->timedOut());
    else if (attempt.connectionBroke)
        probe(attempt.upstream, attempt.address, fiber);
}

} // namespace chestnutsill
