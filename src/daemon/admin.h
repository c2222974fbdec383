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

/// The parts that the operators' pages and the address answer show.
struct AdminParts
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
};

/// Answers `GET /v1/addresses`: the instances to use, how long to keep the answer, and the prefix that each
/// instance gives for request ids.
[[nodiscard]] std::string addressAnswer(const AdminParts &parts);

/// The whole state of the process as JSON.
[[nodiscard]] std::string stateDump(const AdminParts &parts);

/// Serves the operators' pages: `/state`, `/metrics`, `/configuration` and `/health`.
void handleAdmin(const AdminParts &parts, Exchange &exchange, const Fiber &fiber);

} // namespace chestnutsill
