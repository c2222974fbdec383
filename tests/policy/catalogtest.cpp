#include "chestnutsill/policy/catalog.h"
#include "chestnutsill/policy/crashtracker.h"
#include "chestnutsill/policy/revisionlagdetector.h"

#include <doctest/doctest.h>

using namespace chestnutsill;

namespace {

UpstreamEntry entry(std::string id)
{
    UpstreamEntry made;
    made.id = std::move(id);
    made.service = "chat";
    made.address = "127.0.0.1:1";
    made.zone = "a";
    made.slots = 4;
    return made;
}

std::shared_ptr<const RoutingTable> table(std::uint64_t version)
{
    auto made = std::make_shared<RoutingTable>();
    made->version = version;
    made->services["chat"].coldStart = seconds(3);
    return made;
}

} // namespace

TEST_CASE("catalog: the version of the routing table never decreases")
{
    Catalog catalog;
    CHECK(catalog.applyTable(table(7)));
    CHECK_FALSE(catalog.applyTable(table(7)));
    CHECK_FALSE(catalog.applyTable(table(6)));
    CHECK_FALSE(catalog.applyTable(nullptr));
    CHECK(catalog.table()->version == 7);
}

TEST_CASE("catalog: leaving upstreams and zones out of service get no new requests")
{
    Catalog catalog;
    catalog.updateUpstream(entry("u1"), {1, 1}, seconds(1));
    CHECK(catalog.isUsable("u1"));
    catalog.setZoneOutOfService("a", true);
    CHECK_FALSE(catalog.isUsable("u1"));
    CHECK(catalog.usableUpstreams("chat").empty());
    catalog.setZoneOutOfService("a", false);
    UpstreamEntry leaving = entry("u1");
    leaving.leaving = true;
    catalog.updateUpstream(leaving, {1, 2}, seconds(2));
    CHECK_FALSE(catalog.isUsable("u1"));
    CHECK_FALSE(catalog.isUsable("u2"));
}

TEST_CASE("catalog: an entry older than the known one is ignored")
{
    Catalog catalog;
    UpstreamEntry leaving = entry("u1");
    leaving.leaving = true;
    catalog.updateUpstream(leaving, {1, 5}, seconds(1));
    catalog.updateUpstream(entry("u1"), {1, 4}, seconds(2));
    CHECK_FALSE(catalog.isUsable("u1"));
    catalog.removeUpstream("u1", {1, 3}, seconds(3));
    CHECK(catalog.find("u1") != nullptr);
}

TEST_CASE("catalog: an entry that disappears while the store is up is removed at once")
{
    Catalog catalog;
    catalog.updateUpstream(entry("u1"), {1, 1}, seconds(1));
    catalog.removeUpstream("u1", {1, 2}, seconds(2));
    CHECK(catalog.find("u1") == nullptr);
}

TEST_CASE("catalog: entries whose leases expire in a store outage are kept until shortly after it")
{
    Catalog catalog;
    catalog.updateUpstream(entry("lives"), {1, 1}, seconds(1));
    catalog.updateUpstream(entry("died"), {1, 2}, seconds(1));
    catalog.recordStoreLost(seconds(4));
    catalog.removeUpstream("lives", {1, 3}, seconds(5));
    catalog.removeUpstream("died", {1, 4}, seconds(5));
    catalog.removeExpired(seconds(60));
    CHECK(catalog.isUsable("lives"));
    catalog.recordStoreRegained(seconds(100));
    catalog.updateUpstream(entry("lives"), {1, 5}, seconds(101));
    catalog.removeExpired(seconds(100) + Catalog::RemovalDelay - milliseconds(1));
    CHECK(catalog.isUsable("died"));
    catalog.removeExpired(seconds(100) + Catalog::RemovalDelay);
    CHECK_FALSE(catalog.isUsable("died"));
    CHECK(catalog.isUsable("lives"));
}

TEST_CASE("catalog: entries that disappeared while only this instance was disconnected are removed")
{
    Catalog catalog;
    catalog.updateUpstream(entry("left"), {1, 1}, seconds(1));
    catalog.recordStoreLost(seconds(4));
    catalog.removeUpstream("left", {1, 3}, seconds(9));
    catalog.recordStoreRegained(seconds(9));
    // A peer that started, or lost the store itself, after the disconnection proves nothing about that time.
    catalog.recordPeerFollowed(seconds(5), seconds(9));
    CHECK(catalog.isUsable("left"));
    catalog.recordPeerFollowed(milliseconds(5200), seconds(9) + milliseconds(100));
    CHECK_FALSE(catalog.isUsable("left"));
    // Entries that disappear afterwards are not kept either.
    catalog.updateUpstream(entry("later"), {1, 4}, seconds(9));
    catalog.removeUpstream("later", {1, 5}, seconds(10));
    CHECK_FALSE(catalog.isUsable("later"));
}

TEST_CASE("catalog: reading an entry again doesn't restart the cold start")
{
    Catalog catalog;
    UpstreamEntry cold = entry("u1");
    cold.coldRemaining = milliseconds(1500);
    catalog.updateUpstream(cold, {1, 1}, seconds(1));
    catalog.updateUpstream(cold, {1, 1}, seconds(60));
    CHECK(catalog.find("u1")->coldUntil == seconds(1) + milliseconds(1500));
}

TEST_CASE("catalog: an upstream is cold after its start, a restart under the same id or a suspected restart")
{
    Catalog catalog;
    CHECK(catalog.applyTable(table(1)));
    UpstreamEntry cold = entry("u1");
    cold.coldRemaining = milliseconds(1500);
    cold.startUnixMs = 10;
    catalog.updateUpstream(cold, {1, 1}, seconds(1));
    CHECK(catalog.find("u1")->coldUntil == seconds(1) + milliseconds(1500));
    UpstreamEntry again = entry("u1");
    again.startUnixMs = 11;
    catalog.updateUpstream(again, {1, 2}, seconds(20));
    CHECK(catalog.find("u1")->coldUntil == seconds(23));
    catalog.suspectRestart("u1", seconds(30));
    CHECK(catalog.find("u1")->coldUntil == seconds(33));
}

TEST_CASE("revision lag: answers without changes don't hide that peers have read newer revisions")
{
    RevisionLagDetector lag;
    lag.recordPeerRevision({1, 12}, {1, 10}, seconds(1));
    CHECK_FALSE(lag.isLagging(seconds(1) + milliseconds(299)));
    lag.recordOwnRevision({1, 10});
    CHECK(lag.isLagging(seconds(1) + RevisionLagDetector::MaxLag));
    lag.recordPeerRevision({1, 11}, {1, 10}, seconds(2));
    CHECK(lag.isLagging(seconds(2)));
    lag.recordOwnRevision({1, 12});
    CHECK_FALSE(lag.isLagging(seconds(3)));
    lag.recordPeerRevision({1, 12}, {1, 12}, seconds(4));
    CHECK_FALSE(lag.isLagging(seconds(5)));
}

TEST_CASE("revision lag: an instance that has not read the restored store is behind, whatever its revision")
{
    RevisionLagDetector lag;
    lag.recordPeerRevision({1, 90}, {1, 90}, seconds(1));
    lag.recordPeerRevision({2, 40}, {1, 90}, seconds(2));
    CHECK(lag.isLagging(seconds(2) + RevisionLagDetector::MaxLag));
    lag.recordOwnRevision({2, 41});
    CHECK_FALSE(lag.isLagging(seconds(10)));
    lag.recordPeerRevision({1, 95}, {2, 41}, seconds(11));
    CHECK_FALSE(lag.isLagging(seconds(12)));
}

TEST_CASE(
    "catalog: an entry of a restored store holds although its revision is lower than that of the known one")
{
    Catalog catalog;
    catalog.updateUpstream(entry("u1"), {1, 90}, seconds(1));
    UpstreamEntry leaving = entry("u1");
    leaving.leaving = true;
    catalog.updateUpstream(leaving, {2, 40}, seconds(2));
    CHECK_FALSE(catalog.isUsable("u1"));
    // A late change of the former era.
    catalog.updateUpstream(entry("u1"), {1, 95}, seconds(3));
    CHECK_FALSE(catalog.isUsable("u1"));
    catalog.removeUpstream("u1", {2, 41}, seconds(4));
    CHECK(catalog.find("u1") == nullptr);
}

TEST_CASE(
    "catalog: an upstream that was leaving or gone stays so if the copy of a restored store shows it ready")
{
    Catalog catalog;
    UpstreamEntry leaving = entry("leaving");
    leaving.leaving = true;
    catalog.updateUpstream(leaving, {1, 90}, seconds(1));
    catalog.updateUpstream(entry("gone"), {1, 80}, seconds(1));
    catalog.removeUpstream("gone", {1, 91}, seconds(2));
    catalog.recordStoreLost(seconds(3));
    catalog.updateUpstream(entry("leaving"), {2, 60}, seconds(4));
    catalog.updateUpstream(entry("gone"), {2, 61}, seconds(4));
    catalog.recordStoreRegained(seconds(4));
    CHECK_FALSE(catalog.isUsable("leaving"));
    CHECK_FALSE(catalog.isUsable("gone"));
    SUBCASE("written again")
    {
        catalog.updateUpstream(entry("leaving"), {2, 70}, seconds(5));
        catalog.updateUpstream(entry("gone"), {2, 71}, seconds(5));
        CHECK(catalog.isUsable("leaving"));
        CHECK(catalog.isUsable("gone"));
    }
    SUBCASE("gone again when its entry lapses")
    {
        catalog.removeUpstream("gone", {2, 72}, seconds(5));
        CHECK(catalog.find("gone") == nullptr);
    }
    SUBCASE("used after all while its entry stays")
    {
        catalog.removeExpired(seconds(4) + Catalog::ReturnDelay);
        CHECK(catalog.isUsable("gone"));
        CHECK_FALSE(catalog.isUsable("leaving"));
    }
    SUBCASE("restarted under the same id")
    {
        UpstreamEntry restarted = entry("gone");
        restarted.startUnixMs = 12345;
        catalog.removeUpstream("gone", {2, 72}, seconds(5));
        catalog.updateUpstream(restarted, {3, 10}, seconds(6));
        CHECK(catalog.isUsable("gone"));
    }
}

TEST_CASE("catalog: what the copy of a restored store lacks stays until it can have been written again")
{
    Catalog catalog;
    catalog.updateUpstream(entry("added"), {1, 90}, seconds(1));
    catalog.setZoneOutOfService("b", true);
    catalog.recordStoreLost(seconds(3));
    catalog.removeUpstream("added", {2, 60}, seconds(4));
    catalog.returnZoneOfRestoredStore("b", seconds(4));
    catalog.recordStoreRegained(seconds(4));
    catalog.removeExpired(seconds(6));
    CHECK(catalog.isUsable("added"));
    CHECK(catalog.isZoneOutOfService("b"));
    SUBCASE("written again")
    {
        catalog.updateUpstream(entry("added"), {2, 70}, seconds(6));
        catalog.setZoneOutOfService("b", true);
        catalog.removeExpired(seconds(60));
        CHECK(catalog.isUsable("added"));
        CHECK(catalog.isZoneOutOfService("b"));
    }
    SUBCASE("not written again")
    {
        catalog.removeExpired(seconds(4) + Catalog::RemovalDelay);
        CHECK(catalog.find("added") == nullptr);
        CHECK_FALSE(catalog.isZoneOutOfService("b"));
        // Written later, it comes from its upstream and not from the copy.
        catalog.updateUpstream(entry("added"), {2, 80}, seconds(10));
        CHECK(catalog.isUsable("added"));
    }
}

TEST_CASE("catalog: an entry from the copy of a restored store does not start a cold start anew")
{
    Catalog catalog;
    UpstreamEntry cold = entry("u1");
    cold.coldRemaining = seconds(4);
    catalog.updateUpstream(cold, {1, 10}, seconds(1));
    catalog.updateUpstream(cold, {2, 10}, seconds(20));
    CHECK(catalog.find("u1")->coldUntil == seconds(5));
    catalog.updateUpstream(cold, {2, 11}, seconds(21));
    CHECK(catalog.find("u1")->coldUntil == seconds(25));
}

TEST_CASE("catalog: the software version of an upstream is not certain while another process may run")
{
    Catalog catalog;
    catalog.applyTable(table(1));
    UpstreamEntry engine = entry("u1");
    engine.softwareVersion = "v1";
    engine.startUnixMs = 100;
    catalog.updateUpstream(engine, {1, 1}, seconds(1));
    const auto runs = [&](std::string_view version, Instant now) {
        const UpstreamRecord &record = *catalog.find("u1");
        return record.entry.softwareVersion == version && catalog.describesProcess(record, now);
    };
    CHECK(runs("v1", seconds(1)));
    CHECK_FALSE(runs("v2", seconds(1)));
    catalog.suspectRestart("u1", seconds(2));
    CHECK_FALSE(runs("v1", seconds(2)));
    catalog.updateUpstream(engine, {1, 2}, seconds(3));
    CHECK_FALSE(runs("v1", seconds(3)));
    engine.startUnixMs = 200;
    engine.softwareVersion = "v2";
    catalog.updateUpstream(engine, {1, 3}, seconds(3));
    CHECK(runs("v2", seconds(3)));
    catalog.suspectRestart("u1", seconds(4));
    CHECK(runs("v2", seconds(4) + Catalog::DoubtTime));
    catalog.recordStoreLost(seconds(4));
    CHECK_FALSE(runs("v2", seconds(60)));
}

TEST_CASE("catalog: a restored store that shows another process of an upstream leaves its version uncertain")
{
    Catalog catalog;
    catalog.applyTable(table(1));
    UpstreamEntry engine = entry("u1");
    engine.softwareVersion = "v2";
    engine.startUnixMs = 200;
    catalog.updateUpstream(engine, {1, 9}, seconds(1));
    UpstreamEntry copy = engine;
    copy.softwareVersion = "v1";
    copy.startUnixMs = 100;
    catalog.updateUpstream(copy, {2, 5}, seconds(2));
    CHECK_FALSE(catalog.describesProcess(*catalog.find("u1"), seconds(2)));
    catalog.updateUpstream(engine, {2, 6}, seconds(3));
    CHECK(catalog.find("u1")->entry.softwareVersion == "v2");
    CHECK(catalog.describesProcess(*catalog.find("u1"), seconds(3)));
}

TEST_CASE(
    "catalog: an outage of the store leaves the processes uncertain to which connections were opened since")
{
    Catalog catalog;
    catalog.applyTable(table(1));
    catalog.updateUpstream(entry("u1"), {1, 1}, seconds(1));
    const UpstreamRecord &record = *catalog.find("u1");
    CHECK(catalog.describesProcess(record, seconds(2), seconds(2)));
    catalog.recordStoreLost(seconds(3));
    CHECK(catalog.describesProcess(record, seconds(2), seconds(9)));
    CHECK_FALSE(catalog.describesProcess(record, seconds(4), seconds(9)));
    catalog.recordStoreRegained(seconds(10));
    CHECK_FALSE(catalog.describesProcess(record, seconds(4), seconds(10)));
    CHECK_FALSE(catalog.describesProcess(record, seconds(4), seconds(10) + Catalog::RemovalDelay));
    catalog.recordConfirmed(seconds(10));
    CHECK(catalog.describesProcess(record, seconds(4), seconds(10) + Catalog::RemovalDelay));
}

TEST_CASE("catalog: a connection that is opened long after the last confirmation may lead to another process")
{
    Catalog catalog;
    catalog.applyTable(table(1));
    catalog.updateUpstream(entry("u1"), {1, 1}, seconds(1));
    catalog.recordConfirmed(seconds(1));
    const UpstreamRecord &record = *catalog.find("u1");
    const Instant last = seconds(1) + Catalog::MaxConfirmationGap;
    CHECK(catalog.describesProcess(record, last, last));
    // The process was stopped for 20 s and has read nothing yet.
    CHECK_FALSE(catalog.describesProcess(record, seconds(21), seconds(21)));
    CHECK(catalog.describesProcess(record, last, seconds(21)));
    catalog.recordConfirmed(seconds(21));
    CHECK(catalog.describesProcess(record, seconds(21), seconds(22)));
}

TEST_CASE("catalog: a crash that a peer reports leaves the process uncertain unless its successor is known")
{
    Catalog catalog;
    catalog.applyTable(table(1));
    UpstreamEntry engine = entry("u1");
    engine.startUnixMs = 100;
    catalog.updateUpstream(engine, {1, 1}, seconds(1));
    const UpstreamRecord &record = *catalog.find("u1");
    catalog.recordPeerCrash(incarnationKeyOf("u1", "99"), seconds(2));
    catalog.recordPeerCrash(incarnationKeyOf("u2", "100"), seconds(2));
    CHECK(catalog.describesProcess(record, seconds(2)));
    catalog.recordPeerCrash(incarnationKeyOf("u1", "100"), seconds(2));
    CHECK_FALSE(catalog.describesProcess(record, seconds(2)));
    engine.startUnixMs = 200;
    catalog.updateUpstream(engine, {1, 2}, seconds(3));
    catalog.recordPeerCrash(incarnationKeyOf("u1", "100"), seconds(2));
    CHECK(catalog.describesProcess(record, seconds(3)));
}

TEST_CASE("catalog: an upstream that has said that it leaves is not used again before it has been restarted")
{
    Catalog catalog;
    catalog.applyTable(table(1));
    UpstreamEntry leaving = entry("u1");
    leaving.startUnixMs = 100;
    catalog.updateUpstream(leaving, {1, 1}, seconds(1));
    CHECK_FALSE(catalog.recordLeaving("u2", 99));
    CHECK(catalog.recordLeaving("u1", 99));
    CHECK(catalog.isUsable("u1"));
    CHECK(catalog.recordLeaving("u1", 100));
    CHECK_FALSE(catalog.recordLeaving("u1", 100));
    CHECK_FALSE(catalog.isUsable("u1"));
    catalog.updateUpstream(leaving, {1, 2}, seconds(2));
    CHECK_FALSE(catalog.isUsable("u1"));
    catalog.removeUpstream("u1", {1, 3}, seconds(3));
    catalog.updateUpstream(leaving, {1, 4}, seconds(4));
    CHECK_FALSE(catalog.isUsable("u1"));
    leaving.startUnixMs = 200;
    catalog.updateUpstream(leaving, {1, 5}, seconds(5));
    CHECK(catalog.isUsable("u1"));
}
