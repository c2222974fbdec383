#include "scenario.h"

#include "chestnutsill/config/document.h"

#include <doctest/doctest.h>

#include <csignal>
#include <future>

using namespace chestnutsill;
using namespace chestnutsill::support;

namespace {

/// Time within which a change must be in force everywhere.
constexpr std::chrono::seconds InForceTime{5};

/// Two zones with an engine and a desk each, and three instances.
void startZones(Cluster &cluster)
{
    describeWorkload(cluster);
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

/// Sends a chat and a booking through each instance.
void sendThroughAll(Cluster &cluster, const std::string &label)
{
    std::vector<std::future<void>> work;
    for (const Instance &instance : cluster.instances()) {
        work.push_back(std::async(std::launch::async, [&instance, label] {
            for (int i = 0; i < 4; ++i)
                (void)chat(instance, "chat", label + instance.name + std::to_string(i), R"({"tokens":2})",
                           true);
            (void)book(instance, freshId(instance, "nonce-" + label));
        }));
    }
    for (auto &item : work)
        item.get();
}

} // namespace

TEST_CASE("zone: one taken out receives no new work after a few seconds, and returns by the next version")
{
    Cluster cluster("zone-out");
    startZones(cluster);
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
    sendThroughAll(cluster, "after");
    CHECK(startsIn(cluster, "a") > before);
    CHECK(cluster.count("engine-a", "coldOverload") == 0);
}

TEST_CASE("zone: an instance frozen with grants while their zone goes out starts nothing there when it wakes")
{
    Cluster cluster("zone-frozen");
    describeWorkload(cluster);
    addDesk(cluster, "desk-a", "za");
    addDesk(cluster, "desk-b", "zb");
    addEngine(cluster, "engine-b", "zb", 8, 2);
    addEngine(cluster, "engine-a", "za", 8, 2);
    // The way to the engine is slow, so the instance can be frozen between its grants and their first bytes.
    const std::string proxy = cluster.addProxy(cluster.upstream("engine-a").address);
    cluster.configuration().upstreams.back().address = proxy;
    cluster.start(3);
    REQUIRE(cluster.waitReady());
    cluster.commandProxy(proxy, R"({"delayMs":200})");
    Instance &frozen = cluster.instances()[2];
    std::vector<std::future<CallerResult>> work;
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

TEST_CASE("configuration: reaches all through peers while the service is down for some, and never reverts")
{
    Cluster cluster("config-peers");
    startZones(cluster);
    // The last instance starts when the service, which had the newer version for a time, is down.
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
    // Looked at all the time, since peers would bring an instance that reverted forward again.
    const bool reverted = waitUntil(
        [&] {
            return versionAt(cluster.instances()[0]) < 2 || versionAt(cluster.instances()[1]) < 2
                   || versionAt(late) < 2;
        },
        std::chrono::seconds(4));
    CHECK_FALSE(reverted);
}

TEST_CASE(
    "configuration: a fresh instance beside a stale service and unreachable peers does not serve the old one")
{
    Cluster cluster("config-fresh");
    startZones(cluster);
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

TEST_CASE("configuration: an invalid document is refused everywhere and the last one stays")
{
    Cluster cluster("config-invalid");
    startZones(cluster);
    auto broken = *withZoneOutOfService(cluster.configuration(), "za", true);
    broken.classes[0].model = "none";
    REQUIRE(cluster.publish(broken) == 200);
    std::this_thread::sleep_for(std::chrono::seconds(2));
    for (const Instance &instance : cluster.instances()) {
        CHECK(versionAt(instance) == 1);
        CHECK(chat(instance, "chat", "still-" + instance.name, R"({"tokens":1})", true).status == 200);
    }
}

TEST_CASE("upstream: one that leaves by the instance list receives no new work after a few seconds")
{
    Cluster cluster("upstream-leaving");
    startZones(cluster);
    cluster.publishList([](const Instance &) { return true; }, {"engine-a"});
    REQUIRE(waitUntil(
        [&] {
            const auto load = cluster.count("engine-a", "started");
            sendThroughAll(cluster, "probe" + std::to_string(load));
            return cluster.count("engine-a", "started") == load;
        },
        InForceTime));
    const std::int64_t before = cluster.count("engine-a", "started");
    sendThroughAll(cluster, "after-leaving");
    CHECK(cluster.count("engine-a", "started") == before);
}
