#pragma once

#include "chestnutsill/net/connectionpool.h"
#include "chestnutsill/net/exchange.h"
#include "chestnutsill/net/interruptiblesleep.h"
#include "chestnutsill/observe/metrics.h"
#include "chestnutsill/policy/answer.h"
#include "chestnutsill/policy/brittleupstreams.h"
#include "chestnutsill/policy/catalog.h"
#include "chestnutsill/policy/coldstartlimiter.h"
#include "chestnutsill/policy/crashtracker.h"
#include "chestnutsill/policy/deadlineestimator.h"
#include "chestnutsill/policy/dispatchqueue.h"
#include "chestnutsill/policy/freshness.h"
#include "chestnutsill/policy/handovertargets.h"
#include "chestnutsill/policy/hedging.h"
#include "chestnutsill/policy/leavingschedule.h"
#include "chestnutsill/policy/membership.h"
#include "chestnutsill/policy/outlierdetector.h"
#include "chestnutsill/policy/prefillrate.h"
#include "chestnutsill/policy/rankdemand.h"
#include "chestnutsill/policy/requestpermits.h"
#include "chestnutsill/policy/routedurations.h"
#include "chestnutsill/policy/silencedetector.h"
#include "chestnutsill/policy/streamorigins.h"
#include "chestnutsill/policy/upstreamload.h"
#include "chestnutsill/policy/upstreampauses.h"
#include "chestnutsill/policy/upstreamratelimits.h"
#include "chestnutsill/policy/upstreamreach.h"
#include "chestnutsill/policy/upstreamselection.h"
#include "chestnutsill/policy/upstreamspeeds.h"
#include "chestnutsill/policy/windowedretrybudget.h"
#include "chestnutsill/router/protocoladapter.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chestnutsill {

/// Settings of the router.
struct RouterSettings
{
    std::string instance;
    std::string zone;
    /// Maximum age of the configuration's last confirmation at which API keys are accepted; no limit if
    /// empty.
    std::optional<milliseconds> maxKeyConfirmationAge;
    /// A published table takes effect everywhere within this time. With an older confirmation, a newer table
    /// may hold a route or key that this instance doesn't know, so its absence isn't reported as final.
    milliseconds maxApplyTime{2000};
    /// IP address from which connections to upstreams are opened; chosen by the system if empty.
    std::string sourceAddress;
    /// Whether placement weighs the gaps that a prompt causes; see `GapBudget`.
    bool gapBudget = true;
    /// Whether requests with slack are held while no engine has room for them; see `DispatchQueue`.
    bool dispatchQueue = false;
    /// Share of the requests of a service that may get a second attempt while the first one waits for its
    /// answer, 0 to `Hedging::MaxRatio`; 0 for none.
    double hedgeRatio = 0;
};

/// State that the router bases its decisions on. It is used from one event loop only.
struct RouterState
{
    RouterState(std::string instance, std::string zone, int strength, RetryLimits retryLimits)
        : membership(std::move(instance), std::move(zone), strength)
        , retryBudget(retryLimits)
    {}

    Catalog catalog;
    Freshness freshness;
    Membership membership;
    LoadTable loadTable;
    PrefixCacheIndex prefixCacheIndex;
    OutlierDetector outlierDetector;
    SilenceDetector silenceDetector;
    UpstreamReach upstreamReach;
    HandOverTargets handOverTargets;
    PrefillRateEstimator prefillRates;
    UpstreamSpeeds upstreamSpeeds;
    DeadlineEstimator deadlineEstimator;
    RouteDurations routeDurations;
    WindowedRetryBudget retryBudget;
    Hedging hedging;
    ColdStartLimiter coldStartLimiter;
    /// By service, of those whose requests have been held.
    std::map<std::string, DispatchQueue, std::less<>> dispatchQueues;
    RankDemand rankDemand;
    UpstreamRateLimits rateLimits;
    PermitIssuer permitIssuer;
    UpstreamPauses upstreamPauses;
    BrittleUpstreams brittleUpstreams;
    CrashTracker crashTracker;
    StreamOrigins streamOrigins;
    ConnectionPool connections;
    Metrics metrics;
    /// Sends a heartbeat at once, for events that peers must learn of before the next regular one.
    std::function<void()> notifyPeers;
    /// Asks the instance at a peer address for a permit. Returns nothing without a reply.
    std::function<std::optional<Permit>(const std::string &address, const PermitRequest &, const Fiber &)>
        requestPermit;
    /// Tells peers the origin of a stream that begins.
    std::function<void(std::uint64_t stream, const StreamOrigin &)> tellOrigin;
    /// Asks peers for the origin of a stream. Returns nothing if none of them knows it for certain.
    std::function<std::optional<StreamOrigin>(std::uint64_t stream, const Fiber &)> requestOrigin;
    /// Set once this instance has been told to stop. Callers are asked to close their connections then, and
    /// requests that may outlast the process are refused.
    std::optional<LeavingSchedule> leaving;
};

struct HedgeRace;
struct RequestContext;
struct UpstreamAnswer;
struct UpstreamAttempt;

/// Routes requests of callers to upstreams and relays the responses: finds the route, authorizes the caller,
/// chooses an upstream, sends, relays and records the outcome. Each stage either lets the request continue or
/// ends it with an answer. The wire format is left to a `ProtocolAdapter`.
class Router
{
public:
    Router(RouterSettings settings, ProtocolAdapter protocol, RouterState &state);

    /// Replaces the settings while running.
    void setSettings(RouterSettings settings);

    /// Serves one request of a caller.
    void handle(Exchange &exchange, const Fiber &fiber);

    /// Serves a request that a peer has handed over because it reaches no upstream. It is handed over to no
    /// other instance. The response tells the peer the verdict.
    void handleHandedOver(Exchange &exchange, const Fiber &fiber);

    /// Ends all requests in progress, because this instance stops, and logs how far each has come: `read`,
    /// `queued`, `sent`, `begun` or `relayed`. Callers get a complete response that says whether the request
    /// may have run, unless theirs has begun; it is broken off then.
    void endRequests();

    /// Whether the table was confirmed recently enough for API keys to be accepted.
    [[nodiscard]] bool isKeyFresh() const;

    /// Detects and verifies silent upstreams, and services of which no upstream is reached, until the process
    /// ends.
    void monitorUpstreams(boost::asio::io_context &io, const Fiber &fiber);

private:
    void serve(RequestContext &context, const Fiber &fiber);
    void logInProgress(const RequestContext &context) const;
    /// The answer to a request that is given up, because its caller has gone or this instance stops.
    [[nodiscard]] Answer answerGivenUp(RequestContext &context) const;
    [[nodiscard]] std::optional<Answer> resolveRoute(RequestContext &context) const;
    /// Whether another instance serves callers, as far as is known.
    [[nodiscard]] bool othersServe() const;
    /// Whether a request may outlast this instance, which is about to stop.
    [[nodiscard]] bool mayOutlastProcess(const RequestContext &context) const;
    /// Refuses a request because this instance is about to stop; sets when to send it again.
    [[nodiscard]] Answer refuseLeaving(RequestContext &context) const;
    [[nodiscard]] std::optional<Answer> authorize(RequestContext &context) const;
    /// Finds out, for a request that takes up a stream, at which service and software version it may go on.
    /// Refuses it if that is not known for certain.
    [[nodiscard]] std::optional<Answer> resolveOrigin(RequestContext &context, const Fiber &fiber);
    [[nodiscard]] std::optional<Answer> run(RequestContext &context, const Fiber &fiber);
    /// Which upstreams are candidates for a request.
    struct CandidateFilter
    {
        /// Whether upstreams that are suspected of being silent are included.
        bool includeSuspected = false;
        /// Whether upstreams that the outlier detector has ejected are included.
        bool includeEjected = false;
        /// Whether the request may wait: for the permit of one that accepts a limited rate, or until one in
        /// cold start accepts the next request.
        bool mayWait = false;
    };
    /// Upstreams that a request may be sent to. Those that it would have to wait for, and suspected ones, are
    /// left out while there are others, and silent ones always. Ejected ones are used only to continue a
    /// stream for which there are no others.
    [[nodiscard]] std::vector<UpstreamCandidate> collectCandidates(const RequestContext &context,
                                                                   Instant time) const;
    [[nodiscard]] std::vector<UpstreamCandidate>
    collectCandidates(const RequestContext &context, Instant time, const CandidateFilter &filter) const;
    /// Selects one of the candidates for an attempt. Returns false if there is none.
    [[nodiscard]] bool selectCandidate(RequestContext &context, UpstreamAttempt &attempt,
                                       std::vector<UpstreamCandidate> &candidates, Instant time) const;
    [[nodiscard]] std::optional<Answer> chooseUpstream(RequestContext &context, UpstreamAttempt &attempt);
    /// Chooses an upstream and waits until the request may be sent to it.
    [[nodiscard]] std::optional<Answer> choosePermittedUpstream(RequestContext &context,
                                                                UpstreamAttempt &attempt, const Fiber &fiber);
    /// Whether a request may be held until an engine has room for it: the first attempt of a stream that is
    /// not gap-sensitive, at a service with gap targets.
    [[nodiscard]] bool mayHold(const RequestContext &context) const;
    /// Holds a request until an engine has room for it or its slack is used up, the caller leaves or this
    /// instance stops. Returns a refusal if it can't end before the process does.
    [[nodiscard]] std::optional<Answer> holdUntilRoom(RequestContext &context, const Fiber &fiber);
    /// Updates what is known of a held request, and releases requests of its service if that is due. Returns
    /// false if the request is not to be held any longer.
    [[nodiscard]] bool updateHeld(RequestContext &context, DispatchQueue &queue, DispatchQueue::Ticket ticket,
                                  Instant time);
    /// Gets the permit to send a request of this rank now to an upstream, and waits for it up to `maxDelay`.
    /// An upstream that names no rate needs none. Returns false also if the wait was interrupted.
    [[nodiscard]] bool acquirePermit(const std::string &upstream, milliseconds maxDelay, int rank,
                                     InterruptibleSleep &sleep, const Fiber &fiber);
    /// Waits until an upstream in cold start accepts the request. Returns false if the turn has passed,
    /// because the process was stopped meanwhile, or if the wait was interrupted.
    [[nodiscard]] static bool waitUntilAccepted(const UpstreamAttempt &attempt, InterruptibleSleep &sleep,
                                                const Fiber &fiber);
    /// Whether a request may be handed over to a peer, if this instance reaches no upstream of its service.
    [[nodiscard]] bool mayHandOver(const RequestContext &context) const;
    /// Whether connections to all upstreams that a request could be sent to have failed.
    [[nodiscard]] bool reachesNone(const RequestContext &context) const;
    /// Whether the upstream can be used although new connections to its service fail: over a kept one.
    [[nodiscard]] bool isReachedByKeptConnection(const std::string &upstream, Instant time) const;
    /// Hands a request over to a peer and relays its response. Returns false if no peer has taken it.
    [[nodiscard]] bool handOver(RequestContext &context, std::optional<Answer> &answer, const Fiber &fiber);
    /// How a peer has answered a request that was handed over to it.
    enum class HandOverResult {
        /// The response was relayed, or the request ended with `answer`.
        Ended,
        /// The peer has not run the request and can't take it.
        NotTaken,
        /// The peer may have run it, and it may be sent to another one.
        Retry,
    };
    [[nodiscard]] HandOverResult handOverTo(RequestContext &context, const InstanceStatus &peer,
                                            std::optional<Answer> &answer, const Fiber &fiber);
    [[nodiscard]] HandOverResult receiveFromPeer(RequestContext &context, HttpClient &client,
                                                 std::optional<Answer> &answer, const Fiber &fiber);
    /// Passes on the response of a peer that comes from an upstream. Returns false if it breaks off.
    [[nodiscard]] bool relayFromPeer(RequestContext &context, HttpClient &client, const HttpHead &head,
                                     const Fiber &fiber);
    /// Records that an attempt begins at the upstream chosen for it.
    void recordAttempt(RequestContext &context, const UpstreamAttempt &attempt);
    /// Sends a request and forwards the response.
    void send(RequestContext &context, UpstreamAttempt &attempt, const Fiber &fiber);
    /// Connects to the upstream and starts sending. Returns false if the attempt has failed.
    [[nodiscard]] bool startAttempt(RequestContext &context, UpstreamAttempt &attempt, const Fiber &fiber);
    /// Receives the head of the response. Returns nothing if the attempt has failed or was refused.
    [[nodiscard]] std::optional<UpstreamAnswer> receive(RequestContext &context, UpstreamAttempt &attempt,
                                                        const Fiber &fiber);
    /// Forwards a response whose head has arrived.
    void relayAnswer(RequestContext &context, UpstreamAttempt &attempt, UpstreamAnswer answer,
                     const Fiber &fiber);
    /// Keeps the connection of a complete response for further requests, if it may stay idle.
    void keepConnection(RequestContext &context, UpstreamAttempt &attempt,
                        std::optional<milliseconds> maxIdleTime);
    /// Whether a request may get a second attempt while the next one waits for its answer.
    [[nodiscard]] bool mayHedge(const RequestContext &context) const;
    /// Makes an attempt and, if it waits longer than usual for its answer, a second one, and forwards the
    /// response that begins first. Afterwards `attempt` is the one that determines what follows.
    void sendHedged(RequestContext &context, UpstreamAttempt &attempt, const Fiber &fiber);
    void startHedgeTimer(const std::shared_ptr<HedgeRace> &race);
    /// Makes the second attempt, up to the head of its response.
    void runHedge(HedgeRace &race, const Fiber &fiber);
    /// Starts the second attempt after the delay, or waits once more if the limit denies it.
    void waitToHedge(const std::shared_ptr<HedgeRace> &race);
    /// Why a request gets no second attempt now; empty if it may. `isEarly` is set when the first attempt has
    /// waited for one delay only.
    [[nodiscard]] std::string_view hedgeDenial(RequestContext &context, const UpstreamAttempt &first,
                                               bool isEarly) const;
    /// Chooses the upstream of a second attempt, and takes it from the limits. Returns why there is none;
    /// empty if there is one.
    [[nodiscard]] std::string_view chooseForHedge(RequestContext &context, UpstreamAttempt &attempt,
                                                  const Fiber &fiber);
    /// Resets the connection of an attempt, because the other one was answered first.
    void cancel(UpstreamAttempt &attempt);
    static void waitForSecond(HedgeRace &race, const Fiber &fiber);
    /// Forwards the response that has won, and ends both attempts. `answer` is the one to the first attempt.
    void endRace(HedgeRace &race, std::optional<UpstreamAnswer> answer, const Fiber &fiber);
    /// Lets the hedging policy learn from the head of a response, and from an attempt that ends without one.
    void recordFirstByte(const RequestContext &context, const UpstreamAttempt &attempt, int status);
    void recordWait(const RequestContext &context, const UpstreamAttempt &attempt, Instant time);
    /// Finds out what the head of a response means for an attempt, and records what it says of its upstream.
    UpstreamResponse interpretHead(RequestContext &context, UpstreamAttempt &attempt, const HttpHead &head);
    /// Records that the upstream has answered an attempt, which may disprove a crash that was reported.
    void recordAlive(const UpstreamAttempt &attempt);
    /// Records that the head of the answer has arrived, and with status 200 that the prompt has been
    /// prefilled.
    void recordAnswerBegun(const RequestContext &context, UpstreamAttempt &attempt, int status);
    /// Records what a response of an upstream's process with this start says about it: that it is leaving, or
    /// that it wants no requests for a time.
    void recordStatements(const std::string &upstream, std::int64_t startUnixMs,
                          const UpstreamResponse &response);
    /// The end of the time for which an upstream wants no requests from this instance; nothing if it accepts
    /// them.
    [[nodiscard]] std::optional<Instant> pausedUntil(const UpstreamRecord &record, Instant time) const;
    /// Records how many rejections a second the upstream bears, by its response, and whether this is one.
    void recordBrittleness(const RequestContext &context, const UpstreamAttempt &attempt,
                           const UpstreamResponse &response, int status);
    /// Whether a brittle upstream has room for a request of this instance.
    [[nodiscard]] bool hasRoom(const UpstreamRecord &record, Instant time) const;
    /// Whether an upstream that a request may use has no room for it now.
    [[nodiscard]] bool lacksRoom(const RequestContext &context, Instant time) const;
    /// Records the request rate that a response names, or that it names none.
    void recordRequestRate(const UpstreamAttempt &attempt, const UpstreamResponse &response, int status);
    /// Records the time to the first token of an attempt that had no other prompt ahead of it.
    void recordPrefillTime(const RequestContext &context, const UpstreamAttempt &attempt);
    /// Records the gap before `count` events that have just arrived in one piece, if no prompt awaited
    /// prefill at the upstream meanwhile and it is not in cold start.
    void recordEventGap(const RequestContext &context, UpstreamAttempt &attempt, std::size_t count);
    void relayResponse(RequestContext &context, UpstreamAttempt &attempt, const HttpHead &head,
                       const Fiber &fiber);
    void relayEventStream(RequestContext &context, UpstreamAttempt &attempt, const HttpHead &head,
                          const Fiber &fiber);
    /// Whether it is known for certain that an attempt is made at the software version for which its upstream
    /// was chosen.
    [[nodiscard]] bool isVersionCertain(const UpstreamAttempt &attempt) const;
    /// Notes the software version whose events follow, and tells peers where the stream may go on. Returns
    /// false if the events must not follow, because they would continue a stream and the version of the
    /// upstream is not known for certain.
    [[nodiscard]] bool beginEvents(RequestContext &context, const UpstreamAttempt &attempt);
    /// Whether a part of the prompt is banned because it crashes upstreams; sets when to send the request
    /// again.
    [[nodiscard]] bool isSuspectedOfCrashes(RequestContext &context) const;
    /// Whether the request may run once more, after it may have run.
    [[nodiscard]] static bool mayRunAgain(const RequestContext &context);
    /// Whether the limits on the number of upstreams and the deadline allow another attempt.
    [[nodiscard]] static bool mayTryAnother(const RequestContext &context);
    [[nodiscard]] bool mayRetry(RequestContext &context, const UpstreamAttempt &attempt);
    [[nodiscard]] bool mayStart(const RequestContext &context, const UpstreamAttempt &attempt) const;
    /// Lets the deadline estimator learn from an attempt that has ended.
    void recordTimes(const RequestContext &context, const UpstreamAttempt &attempt);
    void finishAttempt(RequestContext &context, UpstreamAttempt &attempt, const Fiber &fiber);
    [[nodiscard]] bool isTooLate(RequestContext &context, const UpstreamAttempt &attempt, Instant time) const;
    void handleUnreachable(const std::string &upstream, bool refused);
    void probe(const std::string &upstream, const std::string &address, const Fiber &fiber);
    /// Opens a connection and checks that it stays open. Returns null if it doesn't.
    [[nodiscard]] std::unique_ptr<HttpClient> openProbe(const UpstreamEntry &entry, const Fiber &fiber);
    /// Connects to upstreams of a service until one is reached.
    void verifyReach(const std::string &service, const Fiber &fiber);
    /// Whether one of a few upstreams of a service is reached.
    [[nodiscard]] bool probeService(const std::string &service, std::size_t count, const Fiber &fiber);
    /// Checks the health of a suspected upstream until it responds, has ended or is no longer published.
    void verifySilence(const std::string &upstream, const Fiber &fiber);
    [[nodiscard]] std::string healthPath(std::string_view serviceName) const;
    void recordSilence(const std::string &upstream, Instant silence);
    /// Ends the attempts that wait at a silent upstream and may be made at another one.
    void retryElsewhere(const std::string &upstream);
    void respond(RequestContext &context, const Answer &answer, const Fiber &fiber) const;
    void recordOutcome(const RequestContext &context, const std::optional<Answer> &answer);
    /// Refuses a request with status 503 and the verdict that it has not run.
    [[nodiscard]] Answer refuseNotRun(std::string_view reason, std::string_view message) const;
    /// Refuses a request for something that the table doesn't hold. `status` is used only if the table was
    /// confirmed as the newest within `RouterSettings::maxApplyTime`; otherwise a newer table may hold it,
    /// and the status is 503, so that the caller can resend the request.
    [[nodiscard]] Answer refuseUnknown(int status, std::string_view reason, std::string_view field,
                                       std::string_view message) const;

    RouterSettings m_settings;
    ProtocolAdapter m_protocol;
    RouterState &m_state;
    /// Upstreams with a probe in progress.
    std::set<std::string, std::less<>> m_probedUpstreams;
    /// Services with a verification in progress.
    std::set<std::string, std::less<>> m_verifiedServices;
    /// An attempt whose request was sent and that has not ended.
    struct AttemptInProgress
    {
        RequestContext *context;
        UpstreamAttempt *attempt;
    };
    /// By upstream.
    std::multimap<std::string, AttemptInProgress, std::less<>> m_attemptsInProgress;
    std::set<RequestContext *> m_requestsInProgress;
};

} // namespace chestnutsill
