#pragma once

#include "chestnutsill/net/exchange.h"
#include "chestnutsill/net/httpclient.h"
#include "chestnutsill/policy/outlierdetector.h"
#include "chestnutsill/policy/routing.h"
#include "chestnutsill/policy/verdict.h"
#include "chestnutsill/router/callerrequest.h"
#include "chestnutsill/router/eventsplitter.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chestnutsill {

/// One try at one upstream.
struct UpstreamAttempt
{
    std::string upstream;
    std::string address;
    /// Prompt tokens that the upstream has to read, as predicted.
    double unreadTokens = 0;
    /// Address of the upstream from whose memory it fetches shared parts; empty for none.
    std::string fetchFrom;
    std::unique_ptr<HttpClient> client;
    /// Whether a byte was handed to the network.
    bool sent = false;
    bool firstByteSeen = false;
    /// Whether the connection ended or was reset before the whole answer.
    bool connectionBroke = false;
    /// Whether another try has been decided on, and paid for from the budget.
    bool retryGranted = false;
    Verdict verdict = Verdict::NotRun;
    AttemptResult result = AttemptResult::Unreachable;
    int status = 0;
    std::string reason;
};

/// A request on its way through the router.
struct RequestContext
{
    explicit RequestContext(Exchange &callerExchange)
        : exchange(callerExchange)
    {}

    Exchange &exchange;
    CallerRequest request;
    /// Keeps the table alive that `route` and `account` point into.
    std::shared_ptr<const RoutingTable> table;
    const Route *route = nullptr;
    const ClientAccount *account = nullptr;
    const Service *service = nullptr;
    std::string serviceName;
    /// Names the request by its content and account, also under another attempt id.
    std::uint64_t fingerprint = 0;
    Instant arrivedAt{};
    /// When the caller, or the operator for it, stops waiting.
    Instant deadline{};

    bool callerGone = false;
    /// The connection that a leaving caller cancels.
    HttpClient *activeClient = nullptr;
    /// Upstreams that were tried, and the number of those that may have run the request.
    std::vector<std::string> triedUpstreams;
    int possibleRuns = 0;
    /// Whether a part of the answer has reached the caller.
    bool responseStarted = false;
    /// Whether the whole answer has.
    bool responseEnded = false;
    int status = 0;
    Instant firstByteAt{};
    EventSplitter events;
};

} // namespace chestnutsill
