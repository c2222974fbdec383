#include "daemon/statetext.h"

#include "chestnutsill/router/router.h"

#include <boost/json.hpp>

#include <algorithm>

namespace chestnutsill {

namespace {

namespace json = boost::json;

double toMs(Instant time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

json::object toJson(const UpstreamRecord &record, const RouterState &state, Instant now)
{
    const auto maxRequestRate = state.rateLimits.perSecond(record.entry.id);
    const UpstreamEntry &entry = record.entry;
    const auto pauseEnd = state.upstreamPauses.pausedUntil(entry.id, entry.startUnixMs, now);
    const Load load = state.loadTable.total(entry.id, now);
    return {{"upstream", entry.id},
            {"service", entry.service},
            {"address", entry.address},
            {"zone", entry.zone},
            {"softwareVersion", entry.softwareVersion},
            {"usable", state.catalog.isUsable(entry.id)},
            {"leaving", isLeaving(record)},
            {"coldForMs", std::max(0.0, toMs(record.coldUntil - now))},
            {"leftOut", state.outlierDetector.isEjected(entry.id, now)},
            {"silent", state.silenceDetector.isSilent(entry.id)},
            {"pausedForMs", pauseEnd ? toMs(*pauseEnd - now) : 0.0},
            {"maxRequestRate", maxRequestRate ? json::value(*maxRequestRate) : json::value(nullptr)},
            {"brittle", state.brittleUpstreams.isBrittle(entry.service, entry.id)},
            {"failureShare", state.outlierDetector.failureRate(entry.id, now)},
            {"speed", state.upstreamSpeeds.speed(entry.id, now)},
            {"speedSamples", state.upstreamSpeeds.samples(entry.id)},
            {"running", load.running},
            {"gapSensitive", load.gapSensitive},
            {"unreadTokens", load.tokensToPrefill}};
}

json::object toJson(const InstanceStatus &status)
{
    return {{"instance", status.name},
            {"zone", status.zone},
            {"callerAddress", status.callerAddress},
            {"serving", status.serving},
            {"ageMs", status.age.count()}};
}

} // namespace

std::string stateText(const RouterState &state, Instant now)
{
    const auto &table = state.catalog.table();
    const auto age = state.freshness.age(now);
    json::array instances;
    for (const InstanceStatus &status : state.membership.alive(now))
        instances.push_back(toJson(status));
    json::array upstreams;
    for (const auto &[id, record] : state.catalog.upstreams())
        upstreams.push_back(toJson(record, state, now));
    json::object prefillRates;
    for (const auto &[service, rate] : state.prefillRates.rates())
        prefillRates[service] = rate;
    json::object deadlineModels;
    for (const auto &[route, model] : state.deadlineEstimator.models())
        deadlineModels[route] = {{"firstTokenRatio", model.firstTokenRatio},
                                 {"streamMs", model.streamTime.count()}};
    json::array bannedParts;
    for (const PartBan &ban : state.crashTracker.parts().bans(now))
        bannedParts.push_back({{"strikes", ban.strikes}, {"ageMs", ban.age.count()}});
    json::array zones;
    for (const std::string &zone : state.catalog.zonesOutOfService())
        zones.emplace_back(zone);
    json::array outOfReach;
    if (table) {
        for (const auto &[service, settings] : table->services) {
            if (state.upstreamReach.isCutOff(service))
                outOfReach.emplace_back(service);
        }
    }
    json::object held;
    double heldTokens = 0;
    for (const auto &[service, queue] : state.dispatchQueues) {
        const DispatchQueue::Held waiting = queue.held();
        heldTokens += waiting.tokens;
        for (const auto &[route, count] : waiting.byRoute)
            held[route] = json::value_to<int>(held.emplace(route, 0).first->value()) + count;
    }
    json::object document{{"configVersion", table ? table->version : 0},
                          {"leaving", state.leaving.has_value()},
                          {"storeLost", state.catalog.isStoreLost()},
                          {"keptConnections", state.connections.size()},
                          {"zonesOut", std::move(zones)},
                          {"instances", std::move(instances)},
                          {"upstreams", std::move(upstreams)}};
    document["prefillTokensPerMs"] = std::move(prefillRates);
    document["deadlineModels"] = std::move(deadlineModels);
    document["heldRequests"] = std::move(held);
    document["heldTokens"] = heldTokens;
    document["bannedParts"] = std::move(bannedParts);
    document["servicesOutOfReach"] = std::move(outOfReach);
    document["configAgeMs"] = age ? json::value(toMs(*age)) : json::value(nullptr);
    return json::serialize(document) + '\n';
}

} // namespace chestnutsill
