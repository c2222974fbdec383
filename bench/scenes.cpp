#include "scenes.h"

#include "chestnutsill/config/document.h"

#include <stdexcept>
#include <thread>

namespace chestnutsill::bench {

namespace {

using support::Cluster;
using support::Instance;
using Events = std::vector<std::pair<double, std::function<void()>>>;

/// The normal load is about half of the capacity of the engines; with this factor it is about twice the
/// capacity.
constexpr double BurstFactor = 5;
constexpr double KillPeriod = 3;

/// Load and timed events of one scene.
struct Scene
{
    LoadShape shape;
    Events events;
    bool cold = false;
};

void startBaseline(Cluster &cluster, int count)
{
    cluster.prepare(count);
    for (Instance &instance : cluster.instances()) {
        instance.command = {std::string(CHESTNUTSILL_BUILD) + "/bench/chestnutsill-baseline",
                            instance.address, cluster.platformAddress()};
    }
    cluster.startPlatform();
    for (std::size_t i = 0; i < cluster.instances().size(); ++i)
        cluster.startInstance(i);
}

bool baselineReady(Cluster &cluster)
{
    return support::waitUntil([&] {
        for (const Instance &instance : cluster.instances()) {
            const auto answer = support::call(instance.address, "GET", "/");
            if (!answer || answer->head.status != 200)
                return false;
        }
        return true;
    });
}

std::int64_t startsInZone(Cluster &cluster, const std::string &zone)
{
    std::int64_t starts = 0;
    for (const Upstream &upstream : cluster.configuration().upstreams) {
        if (upstream.zone == zone)
            starts += cluster.count(upstream.name, "started");
    }
    return starts;
}

void addZoneEvents(Scene &scene, Cluster &cluster, const std::string &zone, double seconds,
                   std::int64_t &starts)
{
    scene.events.emplace_back(seconds * 0.25, [&cluster, zone] {
        cluster.publish(*withZoneOutOfService(cluster.configuration(), zone, true));
    });
    scene.events.emplace_back(seconds * 0.25 + 3,
                              [&cluster, zone, &starts] { starts = -startsInZone(cluster, zone); });
    scene.events.emplace_back(seconds * 0.7, [&cluster, zone, &starts] {
        starts += startsInZone(cluster, zone);
        // The engines restart while the zone is out of service, so that they come back in cold start.
        for (const Upstream &upstream : cluster.configuration().upstreams) {
            if (upstream.zone == zone && upstream.model == "assistant")
                (void)support::call(upstream.address, "POST", "/control", R"({"crash":true})");
        }
        auto out = *withZoneOutOfService(cluster.configuration(), zone, true);
        cluster.publish(*withZoneOutOfService(out, zone, false));
    });
}

void addKillEvents(Scene &scene, Cluster &cluster, double seconds)
{
    std::size_t victim = 0;
    for (double at = 1; at + 1 < seconds; at += KillPeriod) {
        const std::size_t index = victim++ % cluster.instances().size();
        scene.events.emplace_back(at, [&cluster, index] { cluster.instances()[index].process->kill(); });
        scene.events.emplace_back(at + 1, [&cluster, index] { cluster.startInstance(index); });
    }
}

Scene makeScene(const std::string &name, Cluster &cluster, const Deployment &deployment, double seconds,
                std::int64_t &startsInZoneOutOfService)
{
    Scene scene;
    const std::string topClass = deployment.requestClasses[1].name;
    if (name == "burst") {
        scene.shape.factor = [seconds, topClass](const std::string &item, double at) {
            const bool bursting = at > seconds * 0.25 && at < seconds * 0.75;
            return bursting && item != topClass && item != "booking" ? BurstFactor : 1.0;
        };
    } else if (name == "account") {
        scene.shape.largeAccountShare = 0.8;
        scene.shape.factor = [topClass](const std::string &item, double) {
            return item == topClass ? 6.0 : 1.0;
        };
    } else if (name == "straggler") {
        scene.events.emplace_back(seconds * 0.2, [&cluster] {
            (void)support::call(cluster.upstream("assistant-0").address, "POST", "/control",
                                R"({"tokenMs":200,"firstTokenMs":1500})");
        });
    } else if (name == "zone") {
        addZoneEvents(scene, cluster, deployment.zoneToTakeOut, seconds, startsInZoneOutOfService);
    } else if (name == "kills") {
        addKillEvents(scene, cluster, seconds);
    } else if (name == "config-down") {
        scene.events.emplace_back(1, [&cluster] { cluster.commandPlatform(R"({"configMode":"silent"})"); });
    } else if (name == "crash") {
        for (int i = 0; i < 3; ++i) {
            scene.events.emplace_back(seconds * (0.2 + 0.2 * i), [&cluster, i] {
                (void)support::call(cluster.upstream("assistant-" + std::to_string(i)).address, "POST",
                                    "/control", R"({"crash":true})");
            });
        }
    } else if (name != "calm" && name != "cold") {
        throw std::runtime_error("no scene " + name);
    }
    return scene;
}

void readCounts(Cluster &cluster, SceneResult &result)
{
    for (const Upstream &upstream : cluster.configuration().upstreams) {
        const auto stats = support::readObject(upstream.address, "/stats");
        const auto number = [&](std::string_view name) {
            const auto *value = stats.if_contains(name);
            return value != nullptr && value->is_int64() ? value->get_int64() : 0;
        };
        result.generated += number("tokens");
        result.coldStartCrashes += number("coldOverload");
        if (upstream.model == "assistant")
            continue;
        for (const auto &run : stats.at("runs").as_object())
            result.duplicateRuns += run.value().as_int64() - 1;
    }
}

} // namespace

double SceneResult::wastedShare() const
{
    std::int64_t delivered = 0;
    for (const auto &[name, outcome] : outcomes)
        delivered += outcome.tokens;
    return generated == 0 ? 0 : static_cast<double>(generated - delivered) / static_cast<double>(generated);
}

double SceneResult::goodput() const
{
    std::int64_t delivered = 0;
    for (const auto &[name, outcome] : outcomes)
        delivered += outcome.tokensInTime;
    return static_cast<double>(delivered) / seconds;
}

std::vector<std::string> sceneNames()
{
    return {"calm", "burst", "account", "straggler", "cold", "zone", "kills", "crash", "config-down"};
}

SceneResult runScene(const std::string &name, const Deployment &deployment, bool baseline, std::uint64_t seed,
                     double seconds)
{
    Cluster cluster("bench-" + deployment.name + '-' + name + (baseline ? "-baseline" : ""));
    populate(cluster, deployment, name == "cold");
    if (baseline)
        startBaseline(cluster, deployment.instances);
    else
        cluster.start(deployment.instances);
    if (!(baseline ? baselineReady(cluster) : cluster.waitReady()))
        throw std::runtime_error("the cluster did not become ready");
    SceneResult result;
    result.seconds = seconds;
    const Scene scene = makeScene(name, cluster, deployment, seconds, result.startsInZoneOutOfService);
    std::vector<std::string> addresses;
    for (const Instance &instance : cluster.instances())
        addresses.push_back(instance.address);
    LoadGenerator loadGenerator(deployment, addresses, baseline, seed);
    result.outcomes = loadGenerator.run(seconds, scene.shape, scene.events);
    readCounts(cluster, result);
    return result;
}

} // namespace chestnutsill::bench
