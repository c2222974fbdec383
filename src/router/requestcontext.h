#pragma once

#include "chestnutsill/clock.h"
#include "chestnutsill/net/exchange.h"
#include "chestnutsill/net/httpclient.h"
#include "chestnutsill/net/interruptiblesleep.h"
#include "chestnutsill/policy/dispatchqueue.h"
#include "chestnutsill/policy/eventpauses.h"
#include "chestnutsill/policy/outlierdetector.h"
#include "chestnutsill/policy/routing.h"
#include "chestnutsill/policy/verdict.h"
#include "chestnutsill/router/callerrequest.h"
#include "chestnutsill/router/eventsplitter.h"
#include "chestnutsill/router/protocoladapter.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutsill {

/// Lowest HTTP status of an error of the server.
constexpr int FirstServerError = 500;

/// One attempt to serve a request at one upstream.
struct UpstreamAttempt
{
    std::string upstream;
    std::string address;
    /// Version of the upstream's software and the start of its process, as published when it was selected.
    std::string softwareVersion;
    std::int64_t startUnixMs = 0;
    /// When it accepts the request, if it is in cold start.
    Instant acceptedAt{};
    /// Whether that version was known for certain to run when sending began.
    bool versionIsCertain = false;
    /// Prompt tokens that the upstream is expected to prefill.
    double tokensToPrefill = 0;
    /// Whether the upstream had no other prompt to prefill when it was selected, as far as was known.
    bool hadNoQueue = false;
    /// Speed of the upstream that was assumed when it was selected; see `UpstreamSpeeds`.
    double speed = 1;
    /// Expected time from sending to the first token, in milliseconds; only for engines.
    double expectedFirstTokenMs = 0;
    Instant sentAt{};
    Instant firstTokenAt{};
    /// How long the upstream had sent nothing on any connection when the attempt ended.
    Instant upstreamSilence{};
    /// Address of the upstream from whose prefix cache it fetches shared prompt parts; empty for none.
    std::string fetchFrom;
    std::unique_ptr<HttpClient> client;
    /// Whether a new connection was opened for it.
    bool opensConnection = false;
    /// Whether sending has begun, so that the upstream may run the request.
    bool sent = false;
    bool firstByteSeen = false;
    /// When the last piece with complete events arrived, if the gap to the next one tells the speed of the
    /// upstream; see `Router::recordEventGap`.
    std::optional<Instant> undisturbedEventAt;
    /// Whether the connection ended or was reset before the response was complete.
    bool connectionBroke = false;
    /// Whether another attempt has been granted and taken from the retry budget.
    bool retryGranted = false;
    /// Memory that the head of the response takes.
    std::size_t headMemory = 0;
    /// Whether it is the second attempt of two that run at the same time.
    bool isHedge = false;
    /// Whether this instance has ended it because the other one was answered.
    bool cancelled = false;
    Verdict verdict = Verdict::NotRun;
    AttemptResult result = AttemptResult::Unreachable;
    int status = 0;
    /// How the end of the response is marked: by its length, by chunks or by the end of the connection; empty
    /// before the head of a response.
    std::string_view framing;
    std::string reason;
};

/// Response of an upstream whose head has arrived.
struct UpstreamAnswer
{
    HttpHead head;
    UpstreamResponse response;
};

/// State of one request while the router serves it.
struct RequestContext
{
    explicit RequestContext(Exchange &callerExchange)
        : exchange(callerExchange)
    {}

    Exchange &exchange;
    CallerRequest request;
    /// Keeps alive the table that `route`, `account` and `service` point into.
    std::shared_ptr<const RoutingTable> table;
    const Route *route = nullptr;
    const ClientAccount *account = nullptr;
    const Service *service = nullptr;
    std::string serviceName;
    /// Hash of the request's content and account, equal for all attempt ids of the same request.
    std::uint64_t fingerprint = 0;
    /// Hashes of the service and each shared part of the prompt, in order.
    std::vector<std::uint64_t> sharedParts;
    Instant arrivedAt{};
    /// When the timeout of the caller or of the route ends, whichever is earlier.
    Instant deadline{};

    /// Whether a peer has handed the request over to this instance.
    bool handedOver = false;
    /// Whether the request was counted for the retry budget of its service.
    bool countedForRetries = false;
    /// Whether no peer has taken the request.
    bool handOverFailed = false;
    /// Whether a retry has been taken from the budget and not been used yet.
    bool retryTaken = false;
    /// Name of the peer to which it was handed over last; empty for none.
    std::string handedOverTo;
    bool callerGone = false;
    /// Whether the request must be answered now because this instance stops.
    bool stopped = false;
    /// Connection of the current attempt, which is reset when the caller disconnects.
    HttpClient *activeClient = nullptr;
    /// Connection of the second attempt, if two run at the same time.
    HttpClient *hedgeClient = nullptr;
    /// Whether two attempts run, so that neither is ended for another retry.
    bool attemptsRace = false;
    /// Whether a second attempt was sent while the first one ran, how long after it, and whether the
    /// response to it was forwarded.
    bool hedged = false;
    Instant hedgeDelay{};
    bool hedgeWon = false;
    /// Pause in which the request waits until it may be sent.
    InterruptibleSleep sleep;
    std::vector<std::string> triedUpstreams;
    /// Upstreams that accept a limited rate and have denied the current attempt a permit.
    std::vector<std::string> deniedUpstreams;
    /// Whether it is a gap-sensitive stream of its service.
    bool gapSensitive = false;
    /// How long the current attempt may wait for a permit: not at all while it can be sent elsewhere.
    milliseconds permitWait{};
    /// When the caller should send a refused request again; a default applies if it is not set.
    std::optional<milliseconds> retryAfter;
    /// How long the request was held until an engine had room for it, and why at the end.
    Instant heldFor{};
    HoldReason heldReason = HoldReason::None;
    /// Number of attempts whose request was sent.
    std::size_t sentAttempts = 0;
    /// When the last of them was sent.
    Instant lastSentAt{};
    /// Expected time to the first token at the upstream selected first, in milliseconds; only for engines.
    double expectedFirstTokenMs = 0;
    /// Speed of that upstream that was assumed; see `UpstreamSpeeds`.
    double upstreamSpeed = 1;
    /// Number of attempts that may have run the request.
    int possibleRuns = 0;
    /// Whether sending a response of an upstream to the caller has begun.
    bool responseStarted = false;
    /// Bytes of the response's body that were sent to the caller.
    std::uint64_t relayedBytes = 0;
    /// Whether the complete response was sent.
    bool responseEnded = false;
    int status = 0;
    Instant firstByteAt{};
    /// The only software version at which the stream may go on; empty before the first event of a stream that
    /// the request does not take up, and if the version that began it is not known for certain.
    std::optional<std::string> streamVersion;
    /// Software versions of the upstreams whose events were forwarded, one for each attempt.
    std::vector<std::string> eventVersions;
    /// How the end of the last upstream's response is marked.
    std::string_view upstreamFraming;
    EventSplitter eventSplitter;
    /// Pauses between the events sent to the caller, of all attempts.
    EventPauses eventPauses;
};

/// A time in milliseconds, for logs and estimates.
[[nodiscard]] inline double toMs(Instant time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

/// Gap targets of the routes of a request's service.
struct GapTargets
{
    /// The shortest; longer than any other if no route states one.
    double shortestMs = 0;
    bool isAnyStated = false;
    /// Whether any other is far longer than the shortest.
    bool differ = false;
};

[[nodiscard]] GapTargets gapTargets(const RequestContext &context);

/// Sets the service whose upstreams serve the request.
inline void setService(RequestContext &context, std::string_view name)
{
    context.serviceName = name;
    const auto service = context.table->services.find(name);
    context.service = service == context.table->services.end() ? nullptr : &service->second;
}

/// Sends a piece of the response to the caller.
inline bool relayPiece(RequestContext &context, std::string_view piece, const Fiber &fiber)
{
    context.relayedBytes += piece.size();
    return context.exchange.sendPiece(piece, fiber);
}

/// Sends events of a stream to the caller and records the pause before them. `hasData` tells whether they
/// contain more than comments.
inline bool relayEvents(RequestContext &context, std::string_view events, bool hasData, const Fiber &fiber)
{
    if (hasData)
        context.eventPauses.recordArrival(now());
    const bool isSent = relayPiece(context, events, fiber);
    if (hasData)
        context.eventPauses.recordForwarded(now());
    return isSent;
}

/// Whether no further attempt is made, and what is in progress is ended.
[[nodiscard]] inline bool isGivenUp(const RequestContext &context)
{
    return context.callerGone || context.stopped;
}

/// Ends what is in progress for a request that is given up.
inline void interrupt(RequestContext &context)
{
    context.sleep.interrupt();
    for (HttpClient *client : {context.activeClient, context.hedgeClient}) {
        if (client != nullptr)
            client->reset();
    }
}

/// The connection that is reset for an attempt when the caller disconnects.
inline HttpClient *&clientOf(RequestContext &context, const UpstreamAttempt &attempt)
{
    return attempt.isHedge ? context.hedgeClient : context.activeClient;
}

/// Whether the caller takes up a stream of which it has events.
[[nodiscard]] inline bool takesUpStream(const RequestContext &context)
{
    return context.route->kind == RouteKind::Streaming
           && (!context.request.resumedAttemptId.empty() || !context.request.lastEventId.empty());
}

/// Whether the caller has events of the stream, from this answer or an earlier one, so that it is lost unless
/// it goes on.
[[nodiscard]] inline bool continuesStream(const RequestContext &context)
{
    return context.responseStarted || takesUpStream(context);
}

/// Priority rank of a request. A stream that has begun goes first: without another upstream it is lost.
[[nodiscard]] inline int rankOf(const RequestContext &context)
{
    return continuesStream(context) ? 0 : engineRank(*context.table, *context.route, context.account);
}

} // namespace chestnutsill
