#include "daemon/pipeline.h"

#include "chestnutsill/net/oneshotchannel.h"
#include "chestnutsill/observe/log.h"
#include "chestnutsill/router/eventsplitter.h"

#include <algorithm>
#include <array>

namespace chestnutsill {

namespace {

constexpr int MaxAttempts = 6;
constexpr milliseconds ForwardMargin{1000};
constexpr milliseconds RetryPause{50};
constexpr int FirstClientError = 400;

milliseconds pauseBeforeRetry(RunOutcome outcome)
{
    if (outcome == RunOutcome::Broken)
        return SuspectRetryDelay;
    return outcome == RunOutcome::NotStarted ? RetryPause : milliseconds(0);
}

int statusOf(RefusalReason reason)
{
    return reason == RefusalReason::Quarantined ? 422 : 503;
}

std::string messageOf(const PipelineCall &call, RefusalReason reason)
{
    const std::string &name = call.requestClass->name;
    switch (reason) {
    case RefusalReason::WouldBeLate:
        return "requests of class " + name
               + "'s tier and higher tiers would delay this one past its start deadline";
    case RefusalReason::WaitedTooLong:
        return "no slot became free for class " + name + " in time";
    case RefusalReason::NoUpstream:
        return "no upstream in service accepts class " + name + " now";
    case RefusalReason::HomeNotReady:
        return "no home of a pool for class " + name + " can grant slots now";
    case RefusalReason::Quarantined:
        return "requests with this content were running when upstreams crashed";
    }
    return {};
}

} // namespace

Pipeline::Pipeline(PipelineDependencies dependencies)
    : m_dependencies(std::move(dependencies))
{}

void Pipeline::handle(Exchange &exchange, const Fiber &fiber)
{
    PipelineCall call;
    call.arrivedAt = now();
    call.isAbandoned = [&exchange] { return exchange.callerGone(); };
    if (const auto refused = identify(call, exchange.request(), m_dependencies.view, m_dependencies.closed))
        return respond(exchange, call, *refused, fiber);
    if (const auto refused = classify(call, exchange.request()))
        return respond(exchange, call, *refused, fiber);
    if (!call.requestClass->repeatable)
        return respond(exchange, call, runAtMostOnce(call, fiber), fiber);
    if (call.stream)
        return runStreamed(call, exchange, fiber);
    respond(exchange, call, runBuffered(call, fiber), fiber);
}

Answer Pipeline::requestIdRequired() const
{
    return refusal(428, Verdict::NotRun, "request-id-needed", RequestIdField,
                   "this class runs at most once: append a nonce of 8 to 64 characters to the prefix in "
                   "chestnutsill-request-id-prefix and send it as chestnutsill-request-id");
}

Answer Pipeline::runAtMostOnce(PipelineCall &call, const Fiber &fiber)
{
    if (call.requestIdText.empty())
        return requestIdRequired();
    std::string reason;
    const auto id = parseRequestId(call.requestIdText, reason);
    if (!id)
        return refusal(400, Verdict::NotRun, "malformed-request-id", RequestIdField, reason);
    if (id->owner != m_dependencies.identity.name)
        return forwardToOwner(call, *id, fiber);
    return runOwned(call, *id, fiber);
}

Answer Pipeline::runOwned(PipelineCall &call, const RequestId &id, const Fiber &fiber)
{
    if (id.incarnation != m_dependencies.identity.incarnation)
        return refusal(409, Verdict::MayHaveRun, "owner-restarted", RequestIdField,
                       "the instance that owns this id has restarted since it was issued");
    call.startBy = std::min(call.startBy, expiryOf(id));
    // The run continues when the caller disconnects, so that a resend under the same id gets its outcome.
    call.isAbandoned = [] { return false; };
    const auto timeout = std::chrono::duration_cast<milliseconds>(call.endBy - now());
    return m_dependencies.executor.runOnce(
        call.account, id, timeout, [&] { return runBuffered(call, fiber); }, fiber);
}

Answer Pipeline::forwardToOwner(const PipelineCall &call, const RequestId &id, const Fiber &fiber)
{
    const auto unknown = [](std::string_view reason, std::string_view message) {
        return refusal(504, Verdict::MayHaveRun, reason, RequestIdField, message);
    };
    const auto list = m_dependencies.view.list();
    const Member *owner = nullptr;
    for (const Member &member : list ? list->members : std::vector<Member>{}) {
        if (member.name == id.owner)
            owner = &member;
    }
    if (owner == nullptr)
        return unknown("owner-gone", "the instance that owns this id is not in the instance list");
    const auto timeout = std::chrono::duration_cast<milliseconds>(call.endBy - now()) + ForwardMargin;
    auto channel = std::make_shared<OneShotChannel<PeerResult<Answer>>>(fiber.get_executor());
    m_dependencies.peers.forward(
        owner->peerAddress,
        {call.requestIdText, call.account, call.requestClass->name, call.target, call.contentType, call.body},
        timeout, [channel](PeerResult<Answer> result) { channel->put(std::move(result)); });
    const auto result = channel->wait(timeout + ForwardMargin, fiber);
    if (result && result->value)
        return *result->value;
    return unknown("owner-unreachable", "the instance that owns this id cannot be reached");
}

void Pipeline::handleForwarded(ForwardedRequest forwarded, std::function<void(Answer)> done)
{
    ++m_forwarded;
    startFiber(m_dependencies.io,
               [this, forwarded = std::move(forwarded), done = std::move(done)](const Fiber &fiber) {
                   done(runForwarded(forwarded, fiber));
                   --m_forwarded;
               });
}

Answer Pipeline::runForwarded(const ForwardedRequest &forwarded, const Fiber &fiber)
{
    HttpRequest request;
    request.method = "POST";
    request.target = forwarded.target;
    request.body = forwarded.body;
    request.fields = {{std::string(AccountField), forwarded.account},
                      {std::string(ClassField), forwarded.requestClass},
                      {std::string(RequestIdField), forwarded.requestId},
                      {"content-type", forwarded.contentType}};
    PipelineCall call;
    call.arrivedAt = now();
    if (const auto refused = identify(call, request, m_dependencies.view, m_dependencies.closed))
        return *refused;
    if (const auto refused = classify(call, request))
        return *refused;
    std::string reason;
    const auto id = parseRequestId(call.requestIdText, reason);
    if (!id || id->owner != m_dependencies.identity.name)
        return refuse(call, 421, "not-the-owner", RequestIdField, "this instance does not own the id");
    return runOwned(call, *id, fiber);
}

Answer Pipeline::runBuffered(PipelineCall &call, const Fiber &fiber)
{
    Answer collected;
    UpstreamSink sink;
    sink.head = [&](const HttpHead &head) {
        collected = {head.status, Verdict::MayHaveRun, std::string(head.field("content-type")), {}, {}};
        return true;
    };
    sink.piece = [&](std::string_view piece) {
        collected.body += piece;
        return true;
    };
    Attempt last;
    Answer answer = run(call, sink, last, fiber);
    if (last.verdict == Verdict::Answered) {
        collected.verdict = Verdict::Answered;
        answer = std::move(collected);
    }
    recordResult(call, answer, last);
    return answer;
}

void Pipeline::runStreamed(PipelineCall &call, Exchange &exchange, const Fiber &fiber)
{
    bool started = false;
    HttpHead upstreamHead;
    EventSplitter splitter;
    const auto send = [&](std::string_view events) {
        if (!started && !events.empty()) {
            started = true;
            const std::array<HttpField, 1> fields{{{"chestnutsill-class", call.requestClass->name}}};
            if (!exchange.startStream(upstreamHead.status, upstreamHead.field("content-type"), fields, fiber))
                return false;
        }
        return exchange.sendPiece(events, fiber) && !exchange.callerGone();
    };
    UpstreamSink sink;
    sink.head = [&](const HttpHead &head) {
        upstreamHead = head;
        splitter.reset();
        return true;
    };
    // Only whole events are sent, so that an error event can follow each of them.
    sink.piece = [&](std::string_view piece) {
        const std::string events = splitter.push(piece);
        return splitter.pendingBytes().size() <= EventSplitter::MaxPendingBytes && send(events);
    };
    Attempt last;
    const Answer answer = run(call, sink, last, fiber);
    if (last.verdict == Verdict::Answered)
        (void)send(splitter.pendingBytes());
    recordResult(call, answer, last);
    if (!started)
        return respond(exchange, call, answer, fiber);
    if (last.verdict == Verdict::Answered)
        exchange.sendPiece(": chestnutsill-verdict answered\n\n", fiber);
    else
        exchange.sendPiece("event: error\ndata: " + answer.body + "\n", fiber);
    exchange.endStream(fiber);
}

Answer Pipeline::run(PipelineCall &call, const UpstreamSink &sink, Attempt &last, const Fiber &fiber)
{
    SlotDemand demand;
    demand.model = call.requestClass->model;
    demand.request.tier = call.requestClass->tier;
    demand.request.account = call.account;
    demand.request.fingerprint = call.fingerprint;
    demand.request.startBy = call.startBy;
    {
        const std::lock_guard lock(m_budgetMutex);
        m_budget.recordRequest();
        demand.request.overForecast =
            m_pacer.isOverForecast(*call.requestClass, memberCount(), call.arrivedAt);
    }
    int crashes = 0;
    bool mayHaveRun = false;
    for (int attempts = 0; attempts < MaxAttempts; ++attempts) {
        if (m_dependencies.crashHistory.hasBannedPart(call.sharedParts)) {
            if (mayHaveRun)
                break;
            return refusal(statusOf(RefusalReason::Quarantined), Verdict::NotRun,
                           toString(RefusalReason::Quarantined), "messages",
                           "engines crashed repeatedly while they ran chats with one of these messages");
        }
        demand.request.strikes = std::max(m_dependencies.crashHistory.strikes(call.fingerprint), crashes);
        const auto acquired = m_dependencies.slots.acquire(demand, call.isAbandoned, fiber);
        if (const auto *reason = std::get_if<RefusalReason>(&acquired)) {
            if (mayHaveRun)
                break;
            return refusal(statusOf(*reason), Verdict::NotRun, toString(*reason), "capacity",
                           messageOf(call, *reason));
        }
        const auto &held = std::get<HeldGrant>(acquired);
        last = attempt(call, held, sink, fiber);
        m_dependencies.slots.release(
            held, {held.grant.ticket, last.outcome, last.incarnationSeen, last.firstToken});
        if (last.verdict == Verdict::Answered) {
            m_dependencies.crashHistory.recordLocalCompletion(call.fingerprint);
            if (last.status < FirstClientError)
                m_dependencies.crashHistory.recordPartsServed(call.sharedParts);
            return {last.status, Verdict::Answered, {}, {}, {}};
        }
        mayHaveRun = mayHaveRun || last.verdict == Verdict::MayHaveRun;
        if (last.outcome == RunOutcome::Broken) {
            ++crashes;
            m_dependencies.crashHistory.recordBrokenRun(held.grant.upstream, held.grant.incarnation,
                                                        call.sharedParts);
        }
        if (last.verdict == Verdict::MayHaveRun)
            demand.request.avoid.push_back(held.grant.upstream);
        if (!mayRetry(call, last))
            break;
        sleepFor(pauseBeforeRetry(last.outcome), fiber);
        m_dependencies.metrics.add("retries_total",
                                   last.verdict == Verdict::NotRun ? "not-run" : "repeatable");
    }
    const Verdict verdict = mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun;
    return refusal(502, verdict, "upstream-failed", "upstream", last.reason);
}

bool Pipeline::mayRetry(const PipelineCall &call, const Attempt &attempt)
{
    if (now() >= call.startBy || attempt.outcome == RunOutcome::Cancelled)
        return false;
    if (attempt.verdict == Verdict::NotRun)
        return true;
    if (!call.requestClass->repeatable || attempt.relayed)
        return false;
    const std::lock_guard lock(m_budgetMutex);
    return m_budget.tryAcquire();
}

Attempt Pipeline::attempt(const PipelineCall &call, const HeldGrant &held, const UpstreamSink &sink,
                          const Fiber &fiber)
{
    UpstreamRequest request;
    request.method = call.method;
    request.target = call.target;
    request.contentType = call.contentType;
    request.body = call.body;
    request.attemptId = call.requestIdText.empty() ? m_dependencies.identity.name + '-'
                                                         + std::to_string(m_dependencies.identity.incarnation)
                                                         + '-' + std::to_string(m_nextAttempt++)
                                                   : call.requestIdText;
    request.tier = call.requestClass->tier;
    request.stream = call.stream;
    request.endBy = std::min(call.endBy, now() + MaxRunTime);
    return callUpstream(held, request, {[&] { return mayStart(call, held); }, call.isAbandoned}, sink, fiber);
}

bool Pipeline::mayStart(const PipelineCall &call, const HeldGrant &held) const
{
    const Instant time = now();
    if (time >= held.useBy || time >= call.startBy || time >= call.endBy)
        return false;
    if (m_dependencies.view.state(time) != ConfigurationState::Current)
        return false;
    const auto configuration = m_dependencies.view.configuration();
    const Upstream *upstream = findUpstream(*configuration, held.grant.upstream);
    if (upstream == nullptr || !isOpen(*configuration, *upstream))
        return false;
    const auto list = m_dependencies.view.list();
    const auto &leaving = list->leavingUpstreams;
    return std::find(leaving.begin(), leaving.end(), upstream->name) == leaving.end();
}

void Pipeline::respond(Exchange &exchange, const PipelineCall &call, const Answer &answer,
                       const Fiber &fiber) const
{
    std::vector<HttpField> fields{{"chestnutsill-verdict", std::string(toString(answer.verdict))}};
    if (call.requestClass != nullptr)
        fields.push_back({std::string(ClassField), call.requestClass->name});
    if (!call.requestIdText.empty())
        fields.push_back({std::string(RequestIdField), call.requestIdText});
    if (answer.verdict == Verdict::NotRun && !m_dependencies.closed) {
        const auto prefix =
            requestIdPrefix(m_dependencies.identity.name, m_dependencies.identity.incarnation, now());
        fields.push_back({"chestnutsill-request-id-prefix", prefix});
        if (answer.status == 503)
            fields.push_back({"retry-after", "1"});
    }
    exchange.respond(answer.status, answer.contentType, answer.body, fields, fiber);
    if (!answer.reason.empty())
        log(LogLevel::Info, "request-refused",
            {{"reason", answer.reason},
             {"verdict", std::string(toString(answer.verdict))},
             {"class", call.requestClass != nullptr ? call.requestClass->name : std::string()},
             {"requestId", call.requestIdText}});
}

std::size_t Pipeline::memberCount() const
{
    const auto list = m_dependencies.view.list();
    return list ? list->members.size() : 1;
}

void Pipeline::recordResult(const PipelineCall &call, const Answer &answer, const Attempt &last)
{
    constexpr std::size_t EstimatedBytesPerToken = 4;
    Metrics::Request record;
    record.requestClass = call.requestClass->name;
    record.verdict = toString(answer.verdict);
    record.reason = answer.reason;
    record.totalTime = now() - call.arrivedAt;
    const bool answered = answer.verdict == Verdict::Answered;
    record.firstToken = answered ? last.firstByteAt - call.arrivedAt : Instant{};
    record.attained = answered && record.firstToken <= call.requestClass->firstTokenTarget;
    record.tokensIn = answered ? call.body.size() / EstimatedBytesPerToken : 0;
    record.tokensOut = answered ? last.tokens : 0;
    record.tokensWasted = answered ? 0 : last.tokens;
    m_dependencies.metrics.record(record);
    const auto used = static_cast<double>(record.tokensIn + last.tokens);
    const std::lock_guard lock(m_budgetMutex);
    m_pacer.recordUse(*call.requestClass, memberCount(), used, now());
}

} // namespace chestnutsill
