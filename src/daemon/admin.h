#pragma once

#include "chestnutsill/net/exchange.h"
#include "chestnutsill/observe/metrics.h"
#include "daemon/atmostonceexecutor.h"
#include "daemon/clusterview.h"
#include "daemon/localpools.h"
#include "daemon/rpcheartbeats.h"
#include "daemon/sharedcrashhistory.h"
#include "daemon/slotclient.h"

#include <atomic>
#include <functional>
#include <string>

namespace chestnutsill {

/// The components whose state is served to operators and callers.
struct AdminDependencies
{
    Identity identity;
    milliseconds addressTtl;
    ClusterView &view;
    LocalPools &localPools;
    SlotClient &slots;
    AtMostOnceExecutor &executor;
    SharedCrashHistory &crashHistory;
    Metrics &metrics;
    RpcHeartbeats &heartbeats;
    const std::atomic<bool> &leaving;
    std::function<int()> activeRequests;
    const PeerNode &peers;
    /// Returns further metrics in the Prometheus text exposition format.
    std::function<std::string()> memoryMetrics;
};

/// Returns the body for `GET /v1/addresses`: the instances to use, how long to cache the response, and each
/// instance's current prefix for request ids.
[[nodiscard]] std::string addressResponseBody(const AdminDependencies &dependencies);

/// Returns the state of the process as a JSON document for operators.
[[nodiscard]] std::string stateDump(const AdminDependencies &dependencies);

/// Serves the operators' pages: `/state`, `/metrics`, `/configuration` and `/health`, which has status 503
/// while the instance is not ready.
void handleAdmin(const AdminDependencies &dependencies, Exchange &exchange, const Fiber &fiber);

} // namespace chestnutsill
