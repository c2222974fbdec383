#include "daemon/admin.h"

#include "chestnutsill/policy/requestid.h"

#include <boost/json.hpp>

#include <sys/resource.h>

namespace chestnutsill {

namespace {

namespace json = boost::json;

std::string_view stateName(ConfigurationState state)
{
    switch (state) {
    case ConfigurationState::Starting:
        return "starting";
    case ConfigurationState::Current:
        return "current";
    case ConfigurationState::Stale:
        return "stale";
    }
    return "stale";
}

json::object describeInstance(std::string_view name, std::string_view address, std::string_view prefix)
{
    return {{"name", std::string(name)},
            {"address", std::string(address)},
            {"requestIdPrefix", std::string(prefix)}};
}

json::array peersToJson(const ClusterView &view)
{
    json::array peers;
    for (const auto &[name, peer] : view.peers()) {
        json::object item{{"name", name},
                          {"incarnation", std::to_string(peer.heartbeat.incarnation)},
                          {"configVersion", peer.heartbeat.configVersion},
                          {"ready", peer.heartbeat.ready},
                          {"leaving", peer.heartbeat.leaving},
                          {"refused", peer.refused}};
        item["silentMs"] = peer.receivedAt == Instant{}
                               ? json::value(nullptr)
                               : json::value((now() - peer.receivedAt).count() / 1000);
        peers.push_back(std::move(item));
    }
    return peers;
}

/// Peak resident memory; Linux reports it in KiB.
long peakResidentKiB()
{
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss;
}

/// User and system time of all threads.
double processCpuSeconds()
{
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    constexpr double Micro = 1e-6;
    const auto wholeSeconds = usage.ru_utime.tv_sec + usage.ru_stime.tv_sec;
    return static_cast<double>(wholeSeconds)
           + Micro * static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

std::string metricsPage(const AdminDependencies &dependencies)
{
    std::string page = dependencies.metrics.exposition() + dependencies.memoryMetrics();
    const auto gauge = [&](std::string_view name, auto value) {
        page += "chestnutsill_" + std::string(name) + ' ' + std::to_string(value) + '\n';
    };
    gauge("held_slots", dependencies.slots.heldCount());
    gauge("active_requests", dependencies.activeRequests());
    gauge("configuration_version", dependencies.view.published().version);
    gauge("request_ids", dependencies.executor.size());
    gauge("suspects", dependencies.crashHistory.size());
    gauge("peer_thread_cpu_seconds_total",
          std::chrono::duration<double>(dependencies.peers.cpuTime()).count());
    gauge("peer_calls_total", dependencies.peers.callCount());
    gauge("peer_payload_bytes_total", dependencies.peers.payloadBytes());
    gauge("process_cpu_seconds_total", processCpuSeconds());
    gauge("peak_resident_kib", peakResidentKiB());
    return page;
}

} // namespace

std::string addressResponseBody(const AdminDependencies &dependencies)
{
    json::array instances;
    const Heartbeat own = dependencies.heartbeats.ownHeartbeat();
    if (own.ready)
        instances.push_back(describeInstance(own.name, own.address, own.requestIdPrefix));
    for (const auto &[name, peer] : dependencies.view.peers()) {
        const bool reachable =
            peer.receivedAt != Instant{} && now() - peer.receivedAt <= ClusterView::PeerTimeout;
        const Heartbeat &heartbeat = peer.heartbeat;
        if (reachable && !peer.refused && heartbeat.ready)
            instances.push_back(
                describeInstance(heartbeat.name, heartbeat.address, heartbeat.requestIdPrefix));
    }
    return json::serialize(
               json::object{{"holdMs", dependencies.addressTtl.count()}, {"instances", std::move(instances)}})
           + '\n';
}

std::string stateDump(const AdminDependencies &dependencies)
{
    json::array members;
    if (const auto list = dependencies.view.list()) {
        for (const Member &member : list->members)
            members.push_back({{"name", member.name}, {"zone", member.zone}, {"leaving", member.leaving}});
    }
    const json::object state{{"name", dependencies.identity.name},
                             {"zone", dependencies.identity.zone},
                             {"incarnation", std::to_string(dependencies.identity.incarnation)},
                             {"leaving", dependencies.leaving.load()},
                             {"view", std::string(stateName(dependencies.view.state(now())))},
                             {"configVersion", dependencies.view.published().version},
                             {"listCurrent", dependencies.view.isListCurrent(now())},
                             {"members", std::move(members)},
                             {"peers", peersToJson(dependencies.view)},
                             {"activeRequests", dependencies.activeRequests()},
                             {"heldSlots", dependencies.slots.heldCount()},
                             {"requestIds", dependencies.executor.size()},
                             {"suspects", dependencies.crashHistory.size()},
                             {"homeOf", json::parse(dependencies.localPools.stateJson())}};
    return json::serialize(state) + '\n';
}

void handleAdmin(const AdminDependencies &dependencies, Exchange &exchange, const Fiber &fiber)
{
    const std::string &target = exchange.request().target;
    if (target == "/state") {
        exchange.respond(200, "application/json", stateDump(dependencies), {}, fiber);
    } else if (target == "/metrics") {
        exchange.respond(200, "text/plain; version=0.0.4", metricsPage(dependencies), {}, fiber);
    } else if (target == "/configuration") {
        exchange.respond(200, "application/json", dependencies.view.published().text, {}, fiber);
    } else if (target == "/health") {
        const bool ready = dependencies.heartbeats.ownHeartbeat().ready;
        exchange.respond(ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n", {}, fiber);
    } else {
        exchange.respond(404, "text/plain", "pages: /state /metrics /configuration /health\n", {}, fiber);
    }
}

} // namespace chestnutsill
