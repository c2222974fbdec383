#include "scenario.h"

#include "chestnutsill/config/document.h"

#include <doctest/doctest.h>

#include <csignal>
#include <future>

using namespace chestnutsill;
using namespace chestnutsill::support;

namespace {

/// Time within which a change must take effect at all instances.
constexpr std::chrono::seconds InForceTime{5};

/// Starts three instances with an engine and a desk in each of the two availability zones.
void startInTwoZones(Cluster &cluster)
{
    configureWorkload(cluster);
    addEngine(cluster, "engine-a", "za", 8, 2);
    addEngine(cluster, "engine-b", "zb", 8, 2);
    addDesk(cluster, "desk-a", "za");
    addDesk(cluster, "desk-b", "zb");
    cluster.start(3);
    REQUIRE(cluster.waitReady());
}

std::int64_t versionAt(const Instance &instance)
{
    const auto state = readObject(instance.adminAddress, "/state");
    return state.contains("configVersion") ? state.at("configVersion").to_number<std::int64_t>() : -1;
}

std::int64_t startsIn(Cluster &cluster, const std::string &zone)
{
    return cluster.count("engine-" + zone, "started") + cluster.count("desk-" + zone, "started");
}

/// Sends four chat requests and one booking through each instance.
void sendThroughAll(Cluster &cluster, const std::string &label)
{
    std::vector<std::future<void>> work;
    for (const Instance &instance : cluster.instances()) {
        work.push_back(std::async(std::launch::async, [&instance, label] {
            for (int i = 0; i < 4; ++i)
                (void)chat(instance, "chat", label + instance.name + std::to_string(i), R"({"tokens":2})",
                           true);
            (void)book(instance, newRequestId(instance, "nonce-" + label));
        }));
    }
    for (auto &item : work)
        item.get();
}

} // namespace

TEST_CASE("zone: one taken out receives no new work after a few seconds, and returns by the next version")
{
    Cluster cluster("zone-out");
    startInTwoZones(cluster);
    sendThroughAll(cluster, "before");
    CHECK(startsIn(cluster, "a") > 0);
    const auto out = *withZoneOutOfService(cluster.configuration(), "za", true);
    REQUIRE(cluster.publish(out) == 200);
    const auto everywhere = [&](std::int64_t version) {
        return [&cluster, version] {
            return versionAt(cluster.instances()[0]) == version
                   && versionAt(cluster.instances()[1]) == version
                   && versionAt(cluster.instances()[2]) == version;
        };
    };
    REQUIRE(waitUntil(everywhere(2), InForceTime));
    const std::int64_t before = startsIn(cluster, "a");
    const std::int64_t beforeB = startsIn(cluster, "b");
    sendThroughAll(cluster, "during");
    CHECK(startsIn(cluster, "a") == before);
    CHECK(startsIn(cluster, "b") == beforeB + 15);
    CHECK(cluster.publish(out) == 409);
    REQUIRE(cluster.publish(*withZoneOutOfService(out, "za", false)) == 200);
    REQUIRE(waitUntil(everywhere(3), InForceTime));
    REQUIRE(waitUntil([&] { return !cluster.homeOf("m/za").empty(); }));
    // The home reads the report of a cold upstream before it grants any slot there.
    int rounds = 0;
    CHECK(waitUntil(
        [&] {
            sendThroughAll(cluster, "after-" + std::to_string(++rounds));
            return startsIn(cluster, "a") > before;
        },
        InForceTime));
    CHECK(cluster.count("engine-a", "coldOverload") == 0);
}

TEST_CASE(
    "zone: an instance frozen with grants in a zone that is then taken out starts nothing there on resuming")
{
    Cluster cluster("zone-frozen");
    configureWorkload(cluster);
    addDesk(cluster, "desk-a", "za");
    addDesk(cluster, "desk-b", "zb");
    addEngine(cluster, "engine-b", "zb", 8, 2);
    addEngine(cluster, "engine-a", "za", 8, 2);
    // The connection to the engine is slow, so that the instance can be frozen between receiving grants and
    // sending their first bytes.
    const std::string proxy = cluster.addProxy(cluster.upstream("engine-a").address);
    cluster.configuration().upstreams.back().address = proxy;
    cluster.start(3);
    REQUIRE(cluster.waitReady());
    cluster.commandProxy(proxy, R"({"delayMs":200})");
    Instance &frozen = cluster.instances()[2];
    std::vector<std::future<CallerResponse>> work;
    for (int i = 0; i < 6; ++i) {
        work.push_back(std::async(std::launch::async, [&frozen, i] {
            return chat(frozen, "history", "frozen" + std::to_string(i), R"({"tokens":1})", true);
        }));
    }
    REQUIRE(waitUntil([&] {
        const auto state = readObject(frozen.adminAddress, "/state");
        return state.contains("heldSlots") && state.at("heldSlots").to_number<int>() > 1;
    }));
    frozen.process->signal(SIGSTOP);
    REQUIRE(cluster.publish(*withZoneOutOfService(cluster.configuration(), "za", true)) == 200);
    REQUIRE(waitUntil(
        [&] { return versionAt(cluster.instances()[0]) == 2 && versionAt(cluster.instances()[1]) == 2; },
        InForceTime));
    std::this_thread::sleep_for(std::chrono::seconds(3));
    const std::int64_t before = startsIn(cluster, "a");
    frozen.process->signal(SIGCONT);
    for (auto &item : work)
        (void)item.get();
    CHECK(startsIn(cluster, "a") == before);
}

TEST_CASE(
    "configuration: a restarted instance gets it from peers while the service is down, and none reverts")
{
    Cluster cluster("config-peers");
    startInTwoZones(cluster);
    // The last instance is down while version 2 is published, and starts again when the service is down.
    Instance &late = cluster.instances()[2];
    late.process->kill();
    const auto next = *withZoneOutOfService(cluster.configuration(), "za", true);
    REQUIRE(cluster.publish(next) == 200);
    REQUIRE(waitUntil(
        [&] { return versionAt(cluster.instances()[0]) == 2 && versionAt(cluster.instances()[1]) == 2; },
        InForceTime));
    cluster.commandPlatform(R"({"configMode":"down"})");
    cluster.startInstance(2);
    CHECK(waitUntil([&] { return versionAt(late) == 2; }, InForceTime));
    // The service comes back with the older version.
    cluster.commandPlatform(R"({"configMode":"stale","staleConfig":)"
                            + writeConfiguration(cluster.configuration()) + '}');
    // Polled continuously, because peers would soon bring an instance that reverted back to the newer
    // version.
    const bool reverted = waitUntil(
        [&] {
            return versionAt(cluster.instances()[0]) < 2 || versionAt(cluster.instances()[1]) < 2
                   || versionAt(late) < 2;
        },
        std::chrono::seconds(4));
    CHECK_FALSE(reverted);
}

TEST_CASE(
    "configuration: a restarted instance with a stale service and an unreachable peer serves the new version")
{
    Cluster cluster("config-fresh");
    startInTwoZones(cluster);
    const auto next = *withZoneOutOfService(cluster.configuration(), "za", true);
    REQUIRE(cluster.publish(next) == 200);
    REQUIRE(waitUntil(
        [&] { return versionAt(cluster.instances()[1]) == 2 && versionAt(cluster.instances()[0]) == 2; },
        InForceTime));
    cluster.commandPlatform(R"({"configMode":"stale","staleConfig":)"
                            + writeConfiguration(cluster.configuration()) + '}');
    cluster.instances()[0].process->signal(SIGSTOP);
    cluster.instances()[2].process->kill();
    const std::int64_t before = startsIn(cluster, "a");
    cluster.startInstance(2);
    REQUIRE(waitUntil([&] {
        const auto health = call(cluster.instances()[2].adminAddress, "GET", "/health");
        return health && health->head.status == 200;
    }));
    CHECK(versionAt(cluster.instances()[2]) == 2);
    (void)chat(cluster.instances()[2], "chat", "fresh", R"({"tokens":1})", true);
    CHECK(startsIn(cluster, "a") == before);
    cluster.instances()[0].process->signal(SIGCONT);
}

TEST_CASE("configuration: an invalid document is rejected by all instances, and the last valid one stays")
{
    Cluster cluster("config-invalid");
    startInTwoZones(cluster);
    auto broken = *withZoneOutOfService(cluster.configuration(), "za", true);
    broken.classes[0].model = "none";
    REQUIRE(cluster.publish(broken) == 200);
    std::this_thread::sleep_for(std::chrono::seconds(2));
    for (const Instance &instance : cluster.instances()) {
        CHECK(versionAt(instance) == 1);
        CHECK(chat(instance, "chat", "still-" + instance.name, R"({"tokens":1})", true).status == 200);
    }
}

TEST_CASE("upstream: one listed as leaving receives no new work after a few seconds")
{
    Cluster cluster("upstream-leaving");
    startInTwoZones(cluster);
    cluster.publishList([](const Instance &) { return true; }, {"engine-a"});
    REQUIRE(waitUntil(
        [&] {
            const auto started = cluster.count("engine-a", "started");
            sendThroughAll(cluster, "probe" + std::to_string(started));
            return cluster.count("engine-a", "started") == started;
        },
        InForceTime));
    const std::int64_t before = cluster.count("engine-a", "started");
    sendThroughAll(cluster, "after-leaving");
    CHECK(cluster.count("engine-a", "started") == before);
}
