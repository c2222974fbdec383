#include "handover.h"

#include "chestnutsill/clock.h"
#include "chestnutsill/observe/log.h"
#include "chestnutsill/policy/hash.h"
#include "chestnutsill/router/handedoverexchange.h"
#include "chestnutsill/router/router.h"
#include "requestcontext.h"

#include <algorithm>
#include <charconv>

namespace chestnutsill {

namespace {

/// Timeout for opening a connection to a peer. The round trip takes a few milliseconds.
constexpr milliseconds PeerConnectTimeout{150};
/// How long a connection to a peer is kept for further requests.
constexpr milliseconds PeerMaxIdleTime{5000};
/// Maximum number of peers that are asked to take a request.
constexpr int MaxPeers = 6;
/// Maximum size of a refusal of a peer.
constexpr std::size_t MaxRefusalBytes = 65'536;
/// An upstream that was heard within this time is taken to answer over kept connections.
constexpr milliseconds KeptConnectionTrust{300};
constexpr int StatusOk = 200;
/// Time that a peer may need beyond the deadline to tell that it has passed.
constexpr milliseconds DeadlineMargin{20};

/// Reasons for which a peer takes no request although another one may.
bool isUnable(std::string_view reason)
{
    static constexpr std::string_view Reasons[] = {OutOfReach, "leaving", "no-configuration",
                                                   "stale-configuration", "unconfirmed-key"};
    return std::find(std::begin(Reasons), std::end(Reasons), reason) != std::end(Reasons);
}

std::optional<milliseconds> toMilliseconds(std::string_view text)
{
    milliseconds::rep number = 0;
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc() || stop != text.data() + text.size() || number < 0)
        return std::nullopt;
    return milliseconds(number);
}

/// Key of the kept connections to a peer, which no upstream has.
std::string poolKeyOf(const InstanceStatus &peer)
{
    return "peer/" + peer.peerAddress;
}

bool isHandOverField(const HttpField &field)
{
    return equalsIgnoringCase(field.name, HandOverVerdictField)
           || equalsIgnoringCase(field.name, HandOverReasonField)
           || equalsIgnoringCase(field.name, HandOverRetryField);
}

bool isFramingField(const HttpField &field)
{
    return equalsIgnoringCase(field.name, "Connection") || equalsIgnoringCase(field.name, "Content-Length")
           || equalsIgnoringCase(field.name, "Transfer-Encoding")
           || equalsIgnoringCase(field.name, "Keep-Alive");
}

} // namespace

bool Router::mayHandOver(const RequestContext &context) const
{
    return !context.handedOver && !context.handOverFailed && !context.responseStarted
           && (context.possibleRuns == 0 || context.retryTaken);
}

bool Router::isReachedByKeptConnection(const std::string &upstream, Instant time) const
{
    return m_state.connections.has(upstream)
           && time - m_state.silenceDetector.heardAt(upstream) <= KeptConnectionTrust;
}

bool Router::reachesNone(const RequestContext &context) const
{
    if (!m_state.upstreamReach.hasUnreached(context.serviceName))
        return false;
    const Instant time = now();
    const bool isCutOff = m_state.upstreamReach.isCutOff(context.serviceName);
    const auto upstreams = m_state.catalog.usableUpstreams(context.serviceName);
    const auto isOutOfReach = [&](const UpstreamRecord *record) {
        const std::string &id = record->entry.id;
        if (isCutOff)
            return !isReachedByKeptConnection(id, time);
        return m_state.silenceDetector.isSuspected(id) || m_state.outlierDetector.isEjected(id, time);
    };
    return !upstreams.empty() && std::all_of(upstreams.begin(), upstreams.end(), isOutOfReach);
}

bool Router::handOver(RequestContext &context, std::optional<Answer> &answer, const Fiber &fiber)
{
    for (int peers = 0; peers < MaxPeers && !isGivenUp(context); ++peers) {
        const Instant time = now();
        if (time >= context.deadline)
            break;
        const auto key = stableHash(context.request.attemptId, static_cast<std::uint64_t>(peers));
        const auto peer =
            m_state.handOverTargets.choose(m_state.membership.alive(time), context.serviceName, key, time);
        if (!peer)
            break;
        context.handedOverTo = peer->name;
        m_state.handOverTargets.recordStart(peer->name);
        const HandOverResult result = handOverTo(context, *peer, answer, fiber);
        m_state.handOverTargets.recordEnd(peer->name);
        if (result == HandOverResult::Ended)
            return true;
        if (!isGivenUp(context))
            m_state.handOverTargets.recordUnable(peer->name, context.serviceName, now());
    }
    if (isGivenUp(context)) {
        answer = answerGivenUp(context);
        return true;
    }
    if (context.possibleRuns > 0) {
        answer = refusal(502, Verdict::MayHaveRun, "upstream-failed", "instance",
                         "an instance that had taken the request failed");
        return true;
    }
    context.handOverFailed = true;
    return false;
}

Router::HandOverResult Router::handOverTo(RequestContext &context, const InstanceStatus &peer,
                                          std::optional<Answer> &answer, const Fiber &fiber)
{
    const auto timeLeft = [&] {
        return std::max(std::chrono::duration_cast<milliseconds>(context.deadline - now()), milliseconds(1));
    };
    const std::string poolKey = poolKeyOf(peer);
    auto client = m_state.connections.acquire(poolKey, now());
    if (!client) {
        client = std::make_unique<HttpClient>();
        context.activeClient = client.get();
        const bool isConnected =
            client->connect(peer.peerAddress, std::min(PeerConnectTimeout, timeLeft()), fiber);
        context.activeClient = nullptr;
        if (!isConnected || isGivenUp(context))
            return HandOverResult::NotTaken;
    }
    if (context.account != nullptr && !isKeyFresh()) {
        answer = context.possibleRuns > 0
                     ? refusal(502, Verdict::MayHaveRun, "upstream-failed", "upstream", "an upstream failed")
                     : refuseNotRun("unconfirmed-key", "the key can't be confirmed as still valid");
        return HandOverResult::Ended;
    }
    auto fields = m_protocol.handOver(context.exchange.request(), timeLeft());
    // A caller's fields of the same names come after these, and so have no effect.
    fields.insert(fields.begin(), {{std::string(HandOverMethodField), context.request.method},
                                   {std::string(HandOverTargetField), context.request.target}});
    context.lastSentAt = now();
    context.activeClient = client.get();
    client->startSend({"POST", HandOverPath, fields, context.request.body}, timeLeft() + DeadlineMargin);
    const HandOverResult result = receiveFromPeer(context, *client, answer, fiber);
    context.activeClient = nullptr;
    const bool isWhole = result == HandOverResult::NotTaken
                         || (answer ? answer->verdict == Verdict::NotRun : context.responseEnded);
    if (isWhole && client->sendFinished() && client->isIdle())
        m_state.connections.release(poolKey, std::move(client), PeerMaxIdleTime, now());
    else
        // The unsent rest of an abandoned request must not reach the peer.
        client->reset();
    return result;
}

Router::HandOverResult Router::receiveFromPeer(RequestContext &context, HttpClient &client,
                                               std::optional<Answer> &answer, const Fiber &fiber)
{
    const auto timeLeft = [&] {
        return std::max(std::chrono::duration_cast<milliseconds>(context.deadline - now()), milliseconds(0))
               + DeadlineMargin;
    };
    const auto head = client.readHead(
        timeLeft(), fiber, [&](std::size_t bytes) { return context.exchange.reserveMemory(bytes); });
    const auto verdict = head ? verdictFromString(head->field(HandOverVerdictField)) : std::nullopt;
    if (verdict == Verdict::Answered) {
        if (!relayFromPeer(context, client, *head, fiber))
            answer = refusal(502, Verdict::MayHaveRun, "upstream-failed", "instance",
                             "the response of another instance broke off");
        return HandOverResult::Ended;
    }
    std::string body;
    while (verdict && body.size() <= MaxRefusalBytes) {
        const auto piece = client.readPiece(timeLeft(), fiber);
        if (!piece || piece->empty())
            break;
        body += *piece;
    }
    const std::string reason = head ? std::string(head->field(HandOverReasonField)) : client.lastReason();
    if (verdict == Verdict::NotRun) {
        if (isUnable(reason))
            return HandOverResult::NotTaken;
        context.retryAfter = toMilliseconds(head->field(HandOverRetryField));
        answer = context.possibleRuns > 0
                     ? refusal(502, Verdict::MayHaveRun, "upstream-failed", "upstream", "an upstream failed")
                     : refusal(head->status, Verdict::NotRun, reason, "instance",
                               "another instance refused the request");
        return HandOverResult::Ended;
    }
    // An instance of an older version doesn't know the path, and has not run the request.
    constexpr int StatusNotFound = 404;
    if (head && !verdict && head->status == StatusNotFound)
        return HandOverResult::NotTaken;
    ++context.possibleRuns;
    log(LogLevel::Info, "hand-over-failed",
        {{"requestId", context.request.attemptId}, {"peer", context.handedOverTo}, {"reason", reason}});
    if (verdict) {
        answer = refusal(head->status, Verdict::MayHaveRun, reason, "instance",
                         "the request failed at another instance");
        return HandOverResult::Ended;
    }
    if (context.stopped) {
        answer = answerGivenUp(context);
        return HandOverResult::Ended;
    }
    // The connection to the peer broke, so that the request may run again if it is idempotent.
    if (mayRunAgain(context)
        && m_state.retryBudget.tryAcquire(context.serviceName, m_state.membership.size(now()), now()))
        return HandOverResult::Retry;
    answer = now() + DeadlineMargin >= context.deadline
                 ? refusal(504, Verdict::MayHaveRun, "deadline", "instance",
                           "no response arrived before the deadline")
                 : refusal(502, Verdict::MayHaveRun, "upstream-failed", "instance",
                           "an instance that had taken the request failed");
    return HandOverResult::Ended;
}

bool Router::relayFromPeer(RequestContext &context, HttpClient &client, const HttpHead &head,
                           const Fiber &fiber)
{
    std::vector<HttpField> fields = head.fields;
    std::erase_if(fields,
                  [](const HttpField &field) { return isHandOverField(field) || isFramingField(field); });
    context.responseStarted = true;
    context.status = head.status;
    context.firstByteAt = now();
    context.exchange.startRelay(head.status, fields, head.length, fiber);
    const bool isStream = context.route->kind == RouteKind::Streaming && head.status == StatusOk;
    for (;;) {
        const auto left =
            std::max(std::chrono::duration_cast<milliseconds>(context.deadline - now()), milliseconds(0));
        const auto piece = client.readPiece(left + DeadlineMargin, fiber);
        if (!piece)
            return false;
        if (piece->empty())
            break;
        // The peer sends only complete events, so that a piece contains or ends one.
        if (!relayEvents(context, *piece, isStream && carriesData(*piece), fiber)) {
            context.callerGone = true;
            return false;
        }
    }
    context.responseEnded = context.exchange.endStream(fiber);
    context.callerGone = context.callerGone || !context.responseEnded;
    return true;
}

} // namespace chestnutsill
