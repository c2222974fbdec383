#pragma once

#include "chestnutsill/net/connectionpool.h"
#include "chestnutsill/net/exchange.h"
#include "chestnutsill/observe/metrics.h"
#include "chestnutsill/policy/answer.h"
#include "chestnutsill/policy/catalog.h"
#include "chestnutsill/policy/coldstartlimiter.h"
#include "chestnutsill/policy/crashtracker.h"
#include "chestnutsill/policy/freshness.h"
#include "chestnutsill/policy/membership.h"
#include "chestnutsill/policy/outlierdetector.h"
#include "chestnutsill/policy/upstreamload.h"
#include "chestnutsill/policy/upstreamselection.h"
#include "chestnutsill/policy/windowedretrybudget.h"
#include "chestnutsill/router/protocoladapter.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chestnutsill {

/// What the router works with that does not change while it runs.
struct RouterSettings
{
    std::string instance;
    std::string zone;
    /// Longest age of a confirmation with which keys are honoured; nothing for any age.
    std::optional<milliseconds> maxKeyConfirmationAge;
    /// Within this time a published table is in force, so that an older confirmation proves no absence.
    milliseconds maxApplyTime{2000};
};

/// The state that requests are decided by. All of it belongs to one event loop.
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
    PrefixCacheIndex prefixCaches;
    OutlierDetector outlierDetector;
    WindowedRetryBudget retryBudget;
    ColdStartLimiter coldStartLimiter;
    CrashTracker crashTracker;
    ConnectionPool connections;
    Metrics metrics;
    /// Sends a heartbeat at once, when peers must not learn of something only with the next one.
    std::function<void()> notifyPeers;
    /// Whether this instance is about to stop, so that callers are asked to go elsewhere.
    bool leaving = false;
    /// Whether it takes no further request.
    bool rejectsRequests = false;
};

struct RequestContext;
struct UpstreamAttempt;

/// The way of a request from a caller to an upstream and back: identify, authorize, choose, send, relay,
/// account. Each filter either passes the call on or ends it with an answer. It knows no wire; see
/// `ProtocolAdapter`.
class Router
{
public:
    Router(RouterSettings settings, ProtocolAdapter protocol, RouterState &state);

    /// Takes settings that have changed.
    void setSettings(RouterSettings settings) { m_settings = std::move(settings); }

    /// Serves one request of a caller.
    void handle(Exchange &exchange, const Fiber &fiber);

private:
    [[nodiscard]] std::optional<Answer> resolveRoute(RequestContext &context) const;
    [[nodiscard]] std::optional<Answer> authorize(RequestContext &context) const;
    [[nodiscard]] std::optional<Answer> run(RequestContext &context, const Fiber &fiber);
    [[nodiscard]] std::vector<UpstreamCandidate> collectCandidates(const RequestContext &context,
                                                                   Instant time) const;
    [[nodiscard]] std::optional<Answer> chooseUpstream(RequestContext &context, UpstreamAttempt &attempt);
    void send(RequestContext &context, UpstreamAttempt &attempt, const Fiber &fiber);
    void receive(RequestContext &context, UpstreamAttempt &attempt, const Fiber &fiber);
    void relayResponse(RequestContext &context, UpstreamAttempt &attempt, const HttpHead &head,
                       const Fiber &fiber);
    void relayEventStream(RequestContext &context, UpstreamAttempt &attempt, const HttpHead &head,
                          const Fiber &fiber);
    [[nodiscard]] bool mayRetry(RequestContext &context, const UpstreamAttempt &attempt);
    [[nodiscard]] bool mayStart(const RequestContext &context, const UpstreamAttempt &attempt) const;
    void finishAttempt(RequestContext &context, UpstreamAttempt &attempt, const Fiber &fiber);
    void handleUnreachable(const std::string &upstream, bool refused);
    void probe(const std::string &upstream, const std::string &address, const Fiber &fiber);
    void respond(RequestContext &context, const Answer &answer, const Fiber &fiber) const;
    void recordOutcome(const RequestContext &context, const std::optional<Answer> &answer);
    [[nodiscard]] bool isKeyFresh() const;
    [[nodiscard]] Answer refuseNotRun(std::string_view reason, std::string_view message) const;
    /// Refuses what the table doesn't have. A newer table may have it, so only a confirmed one proves that.
    [[nodiscard]] Answer refuseUnknown(int status, std::string_view reason, std::string_view field,
                                       std::string_view message) const;

    RouterSettings m_settings;
    ProtocolAdapter m_protocol;
    RouterState &m_state;
    /// Upstreams that are being probed.
    std::set<std::string, std::less<>> m_probedUpstreams;
};

} // namespace chestnutsill
