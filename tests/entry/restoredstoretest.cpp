#include "site.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <thread>

using namespace chestnutsill;
using support::callTo;
using support::Site;
using support::waitUntil;

namespace {

namespace json = boost::json;

/// More instances than `Membership::MaxDirectPeers`, so that most of them follow the feed of a hub.
constexpr int LargeCount = 13;
/// Writes after the copy, more than any test makes after the restoration.
constexpr int LostWrites = 30;

/// The state of an upstream at an instance, or an empty object if the instance doesn't know it.
json::object upstreamAt(const Site &site, std::size_t instance, const std::string &id)
{
    const json::object state = site.state(instance);
    if (const auto *upstreams = state.if_contains("upstreams")) {
        for (const json::value &upstream : upstreams->as_array()) {
            if (upstream.at("upstream") == json::value(id))
                return upstream.as_object();
        }
    }
    return {};
}

bool isUsable(const Site &site, std::size_t instance, const std::string &id)
{
    const json::object upstream = upstreamAt(site, instance, id);
    return upstream.contains("usable") && upstream.at("usable").as_bool();
}

std::int64_t versionAt(const Site &site, std::size_t instance)
{
    const json::object state = site.state(instance);
    return state.contains("configVersion") ? state.at("configVersion").to_number<std::int64_t>() : 0;
}

bool hasZoneOut(const Site &site, std::size_t instance, const std::string &zone)
{
    const json::object state = site.state(instance);
    if (!state.contains("zonesOut"))
        return false;
    const json::array &zones = state.at("zonesOut").as_array();
    return std::find(zones.begin(), zones.end(), json::value(zone)) != zones.end();
}

/// Whether something holds at all instances before a time limit.
template<typename Condition>
bool holdsAtAll(const Site &site, const Condition &condition)
{
    return waitUntil([&] {
        for (std::size_t i = 0; i < site.instances().size(); ++i) {
            if (!condition(i))
                return false;
        }
        return true;
    });
}

/// Writes that the restored store has lost.
void writeOften(Site &site)
{
    for (int i = 0; i < LostWrites; ++i)
        site.writeItem("other/item", std::to_string(i));
}

void restore(const Site &site)
{
    site.commandStore(R"({"restore":true})");
}

/// Waits until the instances have called the store often enough to have read it anew.
void awaitReads(const Site &site)
{
    const auto before = site.storeCalls();
    REQUIRE(waitUntil([&] { return site.storeCalls() >= before + 12; }));
}

void signalAll(Site &site, int signal)
{
    for (auto &instance : site.instances())
        instance.process->signal(signal);
}

} // namespace

TEST_CASE("restored store: an upstream that leaves afterwards gets no more work, at small and large sites")
{
    for (const int count : {2, LargeCount}) {
        CAPTURE(count);
        Site site("restored-leaving-" + std::to_string(count));
        auto &leaving = site.addUpstream("desk-1", "desk");
        site.addUpstream("desk-2", "desk");
        site.start(count);
        REQUIRE(site.waitReady());
        site.commandStore(R"({"copy":true})");
        writeOften(site);
        leaving.zone = "c";
        site.publishUpstream(leaving, "ready");
        REQUIRE(holdsAtAll(site, [&](std::size_t i) {
            const auto upstream = upstreamAt(site, i, "desk-1");
            return upstream.contains("zone") && upstream.at("zone") == json::value("c");
        }));
        writeOften(site);
        restore(site);
        site.publishUpstream(leaving, "draining");
        CHECK(holdsAtAll(site, [&](std::size_t i) { return !isUsable(site, i, "desk-1"); }));
        CHECK(site.call(0, callTo("/plain/x", ""))->head.status == 200);
    }
}

TEST_CASE(
    "restored store: a change whose revision was given out before is seen by instances that were stopped")
{
    for (const int count : {2, LargeCount}) {
        CAPTURE(count);
        Site site("restored-stopped-" + std::to_string(count));
        site.addUpstream("desk-1", "desk");
        site.start(count);
        REQUIRE(site.waitReady());
        site.commandStore(R"({"copy":true})");
        writeOften(site);
        const std::int64_t before = versionAt(site, 0);
        signalAll(site, SIGSTOP);
        restore(site);
        site.publishTable();
        site.writeItem("op/evacuate/b", "{}");
        writeOften(site);
        writeOften(site);
        signalAll(site, SIGCONT);
        CHECK(holdsAtAll(site, [&](std::size_t i) { return versionAt(site, i) > before; }));
        CHECK(holdsAtAll(site, [&](std::size_t i) { return hasZoneOut(site, i, "b"); }));
    }
}

TEST_CASE("restored store: instances that cannot reach it meanwhile, and one that starts, see what changed")
{
    Site site("restored-away");
    site.addUpstream("desk-1", "desk");
    site.start(3);
    REQUIRE(site.waitReady());
    site.commandStore(R"({"copy":true})");
    writeOften(site);
    const std::int64_t before = versionAt(site, 0);
    site.commandStore(R"({"mode":"refuse"})");
    awaitReads(site);
    restore(site);
    site.publishTable();
    site.writeItem("op/evacuate/b", "{}");
    writeOften(site);
    writeOften(site);
    site.instances()[2].process->kill();
    site.startInstance(2);
    site.commandStore(R"({"mode":"pass"})");
    CHECK(holdsAtAll(site, [&](std::size_t i) { return versionAt(site, i) > before; }));
    CHECK(holdsAtAll(site, [&](std::size_t i) { return hasZoneOut(site, i, "b"); }));
}

TEST_CASE("restored store: an upstream and a zone that the copy lacks stay as they were until they are "
          "written again")
{
    Site site("restored-lacking");
    site.addUpstream("desk-1", "desk");
    site.start(2);
    REQUIRE(waitUntil([&] { return site.readiness(0) == 200 && site.readiness(1) == 200; }));
    site.commandStore(R"({"copy":true})");
    const auto &added = site.addUpstream("desk-2", "desk");
    site.writeItem("op/evacuate/b", "{}");
    REQUIRE(holdsAtAll(
        site, [&](std::size_t i) { return isUsable(site, i, "desk-2") && hasZoneOut(site, i, "b"); }));
    restore(site);
    bool stayed = true;
    const auto before = site.storeCalls();
    REQUIRE(waitUntil([&] {
        for (std::size_t i = 0; i < 2; ++i)
            stayed = stayed && isUsable(site, i, "desk-2") && hasZoneOut(site, i, "b");
        return site.storeCalls() >= before + 6;
    }));
    CHECK(stayed);
    site.publishUpstream(added, "ready");
    site.writeItem("op/evacuate/b", "{}");
    awaitReads(site);
    CHECK(holdsAtAll(site,
                     [&](std::size_t i) { return isUsable(site, i, "desk-2") && hasZoneOut(site, i, "b"); }));
    // What nobody writes again is gone after a while.
    restore(site);
    CHECK(holdsAtAll(
        site, [&](std::size_t i) { return !isUsable(site, i, "desk-2") && !hasZoneOut(site, i, "b"); }));
}

TEST_CASE(
    "restored store: an upstream that was leaving or gone is not used again because the copy shows it ready")
{
    Site site("restored-returning");
    const auto &leaving = site.addUpstream("desk-1", "desk");
    const auto &gone = site.addUpstream("desk-2", "desk");
    site.addUpstream("desk-3", "desk");
    site.start(2);
    REQUIRE(site.waitReady());
    site.commandStore(R"({"copy":true})");
    site.publishUpstream(leaving, "draining");
    site.publishUpstream(gone, "");
    const auto unused = [&](std::size_t i) {
        return !isUsable(site, i, "desk-1") && !isUsable(site, i, "desk-2");
    };
    REQUIRE(holdsAtAll(site, unused));
    restore(site);
    bool stayed = true;
    const auto before = site.storeCalls();
    REQUIRE(waitUntil([&] {
        stayed = stayed && unused(0) && unused(1);
        return site.storeCalls() >= before + 6;
    }));
    CHECK(stayed);
    site.publishUpstream(leaving, "draining");
    site.publishUpstream(gone, "");
    awaitReads(site);
    CHECK(holdsAtAll(site, unused));
    // Written again as ready, it is used.
    site.publishUpstream(gone, "ready");
    CHECK(holdsAtAll(site, [&](std::size_t i) { return isUsable(site, i, "desk-2"); }));
}

TEST_CASE(
    "restored store: a key whose withdrawal the copy lacks is not accepted by an instance that missed it")
{
    constexpr int MaxKeyAgeMs = 1500;
    Site site("restored-key");
    site.addUpstream("desk-1", "desk");
    site.start(1, MaxKeyAgeMs);
    REQUIRE(site.waitReady());
    support::SiteCall call = callTo("/plain/x", "before");
    call.key = "key-2";
    REQUIRE(site.call(0, call)->head.status == 200);
    site.commandStore(R"({"copy":true})");
    writeOften(site);
    REQUIRE(waitUntil([&] { return site.state(0).at("configAgeMs").as_double() < MaxKeyAgeMs; }));
    signalAll(site, SIGSTOP);
    site.table()["tenants"].as_array().at(1).as_object()["api_keys"].as_array().clear();
    site.publishTable();
    restore(site);
    std::this_thread::sleep_for(std::chrono::milliseconds(MaxKeyAgeMs));
    const auto before = site.storeCalls();
    signalAll(site, SIGCONT);
    REQUIRE(waitUntil([&] { return site.storeCalls() >= before + 3; }));
    call.attemptId = "after";
    CHECK(site.call(0, call)->head.status == 503);
    site.publishTable();
    CHECK(waitUntil([&] { return site.call(0, call)->head.status == 401; }));
    CHECK(site.runsOf("after") == 0);
    CHECK(site.call(0, callTo("/plain/x", ""))->head.status == 200);
}
