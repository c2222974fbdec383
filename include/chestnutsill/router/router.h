#pragma once

#include "chestnutsill/net/connectionpool.h"
#include "chestnutsill/net/exchange.h"
#include "chestnutsill/observe/metrics.h"
#include "chestnutsill/policy/answer.h"
#include "chestnutsill/policy/catalog.h"
#include "chestnutsill/policy/coldshare.h"
#include "chestnutsill/policy/crashbook.h"
#include "chestnutsill/policy/fleet.h"
#include "chestnutsill/policy/freshness.h"
#include "chestnutsill/policy/placing.h"
#include "chestnutsill/policy/repeatbudget.h"
#include "chestnutsill/policy/upstreamjudge.h"
#include "chestnutsill/policy/upstreamload.h"
#include "chestnutsill/router/interface.h"

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
    std::optional<milliseconds> keyAge;
    /// Within this time a published table is in force, so that an older confirmation proves no absence.
    milliseconds applyWithin{2000};
};

/// The state that requests are decided by. All of it belongs to one event loop.
struct RouterState
{
    RouterState(std::string instance, std::string zone, int strength, RepeatBounds repeatBounds)
        : fleet(std::move(instance), std::move(zone), strength)
        , repeats(repeatBounds)
    {}

    Catalog catalog;
    Freshness freshness;
    Fleet fleet;
    LoadBook loads;
    PartCache parts;
    UpstreamJudge judge;
    RepeatBudget repeats;
    ColdShare cold;
    CrashBook crashes;
    ConnectionPool connections;
    Metrics metrics;
    /// Sends a heartbeat at once, when peers must not learn of something only with the next one.
    std::function<void()> tellPeers;
    /// Whether this instance is about to stop, so that callers are asked to go elsewhere.
    bool leaving = false;
    /// Whether it takes no further request.
    bool closed = false;
};

struct RoutedCall;
struct RoutedAttempt;

/// The way of a request from a caller to an upstream and back: identify, authorize, choose, send, relay,
/// account. Each filter either passes the call on or ends it with an answer. It knows no wire; see
/// `WireInterface`.
class Router
{
public:
    Router(RouterSettings settings, WireInterface wire, RouterState &state);

    /// Takes settings that have changed.
    void setSettings(RouterSettings settings) { m_settings = std::move(settings); }

    /// Serves one request of a caller.
    void handle(Exchange &exchange, const Fiber &fiber);

private:
    [[nodiscard]] std::optional<Answer> identify(RoutedCall &call) const;
    [[nodiscard]] std::optional<Answer> authorize(RoutedCall &call) const;
    [[nodiscard]] std::optional<Answer> run(RoutedCall &call, const Fiber &fiber);
    [[nodiscard]] std::vector<PlacingCandidate> candidates(const RoutedCall &call, Instant time) const;
    [[nodiscard]] std::optional<Answer> choose(RoutedCall &call, RoutedAttempt &attempt);
    void send(RoutedCall &call, RoutedAttempt &attempt, const Fiber &fiber);
    void receive(RoutedCall &call, RoutedAttempt &attempt, const Fiber &fiber);
    void relayWhole(RoutedCall &call, RoutedAttempt &attempt, const HttpHead &head, const Fiber &fiber);
    void relayEvents(RoutedCall &call, RoutedAttempt &attempt, const HttpHead &head, const Fiber &fiber);
    [[nodiscard]] bool mayRepeat(RoutedCall &call, const RoutedAttempt &attempt);
    [[nodiscard]] bool mayStart(const RoutedCall &call, const RoutedAttempt &attempt) const;
    void finishAttempt(RoutedCall &call, RoutedAttempt &attempt, const Fiber &fiber);
    void noteUnreachable(const std::string &upstream, bool refused);
    void probe(const std::string &upstream, const std::string &address, const Fiber &fiber);
    void respond(RoutedCall &call, const Answer &answer, const Fiber &fiber) const;
    void account(const RoutedCall &call, const std::optional<Answer> &answer);
    [[nodiscard]] bool isKeyFresh() const;
    [[nodiscard]] Answer notRun(std::string_view reason, std::string_view message) const;
    /// Refuses what the table doesn't have. A newer table may have it, so only a confirmed one proves that.
    [[nodiscard]] Answer refuseUnknown(int status, std::string_view reason, std::string_view field,
                                       std::string_view message) const;

    RouterSettings m_settings;
    WireInterface m_wire;
    RouterState &m_state;
    /// Upstreams that are being probed.
    std::set<std::string, std::less<>> m_probing;
};

} // namespace chestnutsill
