#pragma once

#include "chestnutsill/net/exchange.h"
#include "chestnutsill/observe/metrics.h"
#include "chestnutsill/peer/peernode.h"
#include "chestnutsill/policy/configuration.h"
#include "chestnutsill/policy/forecastpacer.h"
#include "chestnutsill/policy/requestid.h"
#include "chestnutsill/policy/retrybudget.h"
#include "daemon/atmostonceexecutor.h"
#include "daemon/clusterview.h"
#include "daemon/pipelinecall.h"
#include "daemon/sharedcrashhistory.h"
#include "daemon/slotclient.h"
#include "daemon/upstreamcall.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace chestnutsill {

/// The components of the instance that the pipeline uses.
struct PipelineDependencies
{
    boost::asio::io_context &io;
    Identity identity;
    ClusterView &view;
    SlotClient &slots;
    AtMostOnceExecutor &executor;
    SharedCrashHistory &crashHistory;
    Metrics &metrics;
    PeerNode &peers;
    /// Set once no further requests are accepted.
    const std::atomic<bool> &closed;
};

/// Processes a caller's request in stages: identify the account, classify, run at most once if the class
/// requires it, acquire a slot, send to the upstream, relay the response, record the result. Each stage
/// either passes the request on or ends it with an answer.
class Pipeline
{
public:
    explicit Pipeline(PipelineDependencies dependencies);

    /// Serves one request of a caller.
    void handle(Exchange &exchange, const Fiber &fiber);

    /// Serves a request that a peer forwarded because this instance owns its request id. `done` is called
    /// once, with the answer.
    void handleForwarded(ForwardedRequest request, std::function<void(Answer)> done);

    /// Number of forwarded requests in progress.
    [[nodiscard]] int forwardedRequests() const noexcept { return m_forwarded; }

private:
    [[nodiscard]] Answer runAtMostOnce(PipelineCall &call, const Fiber &fiber);
    [[nodiscard]] Answer runOwned(PipelineCall &call, const RequestId &id, const Fiber &fiber);
    [[nodiscard]] Answer forwardToOwner(const PipelineCall &call, const RequestId &id, const Fiber &fiber);
    [[nodiscard]] Answer requestIdRequired() const;
    [[nodiscard]] Answer runForwarded(const ForwardedRequest &forwarded, const Fiber &fiber);

    [[nodiscard]] Answer runBuffered(PipelineCall &call, const Fiber &fiber);
    void runStreamed(PipelineCall &call, Exchange &exchange, const Fiber &fiber);
    [[nodiscard]] Answer run(PipelineCall &call, const UpstreamSink &sink, Attempt &last, const Fiber &fiber);
    [[nodiscard]] Attempt attempt(const PipelineCall &call, const HeldGrant &held, const UpstreamSink &sink,
                                  const Fiber &fiber);
    [[nodiscard]] bool mayStart(const PipelineCall &call, const HeldGrant &held) const;
    [[nodiscard]] bool mayRetry(const PipelineCall &call, const Attempt &attempt);

    void respond(Exchange &exchange, const PipelineCall &call, const Answer &answer,
                 const Fiber &fiber) const;
    void recordResult(const PipelineCall &call, const Answer &answer, const Attempt &last);
    [[nodiscard]] std::size_t memberCount() const;

    PipelineDependencies m_dependencies;
    std::atomic<std::uint64_t> m_nextAttempt = 1;
    std::atomic<int> m_forwarded = 0;
    std::mutex m_budgetMutex;
    RetryBudget m_budget;
    ForecastPacer m_pacer;
};

} // namespace chestnutsill
