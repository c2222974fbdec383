#include "rawcaller.h"
#include "site.h"

#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <future>
#include <string>
#include <thread>
#include <vector>

using namespace chestnutsill;
using std::chrono::milliseconds;
using support::callTo;
using support::exchangeBytes;
using support::looksComplete;
using support::RawAnswer;
using support::Site;
using support::statusOf;
using support::waitUntil;

namespace {

/// Callers connect to an instance for this long after it has told the others that it leaves: three times the
/// time of a directory response.
constexpr milliseconds AddressUse{3000};
constexpr milliseconds CallTimeout{12'000};

void setRoute(Site &site, std::size_t route, const char *field, int value)
{
    site.table().at("routes").as_array().at(route).as_object()[field] = value;
}

/// A request as bytes, with `bodySize` as its stated length.
std::string requestTo(const std::string &path, const std::string &id, std::size_t bodySize,
                      const std::string &body)
{
    return "POST " + path + " HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: " + id
           + "\r\nAuthorization: Bearer key-1\r\nContent-Length: " + std::to_string(bodySize) + "\r\n\r\n"
           + body;
}

std::future<RawAnswer> send(const Site &site, const std::string &path, const std::string &id)
{
    return std::async(std::launch::async,
                      [address = site.address(0, site.callerPort()), request = requestTo(path, id, 2, "{}")] {
                          return exchangeBytes(address, request, CallTimeout);
                      });
}

} // namespace

TEST_CASE("planned stop: streams that come late and may outlast the grace time are refused, not cut")
{
    Site site("stop-late-streams");
    site.setTerminationGrace(8);
    for (const std::size_t route : {3U, 4U})
        setRoute(site, route, "timeout_ms", 8000);
    site.publishTable();
    Site::commandUpstream(site.addUpstream("chat-1", "chat"), R"({"events":22,"eventMs":250})");
    site.start(1);
    REQUIRE(site.waitReady());
    // In progress until after the late ones have come.
    auto first = send(site, "/streamonce/stream/x", "first");
    REQUIRE(waitUntil([&] { return site.runsOf("first") == 1; }));
    site.instances()[0].process->signal(SIGTERM);
    std::this_thread::sleep_for(AddressUse + milliseconds(20));
    std::vector<std::future<RawAnswer>> late;
    for (int i = 0; i < 8; ++i) {
        const char *path = i % 2 == 0 ? "/stream/stream/x" : "/streamonce/stream/x";
        late.push_back(send(site, path, "late-" + std::to_string(i)));
        std::this_thread::sleep_for(milliseconds(15));
    }
    for (std::size_t i = 0; i < late.size(); ++i) {
        CAPTURE(i);
        const RawAnswer answer = late[i].get();
        CHECK(looksComplete(answer, true));
        if (statusOf(answer) == 503)
            CHECK(site.runsOf("late-" + std::to_string(i)) == 0);
        else
            CHECK(statusOf(answer) == 200);
    }
    const RawAnswer whole = first.get();
    CHECK(statusOf(whole) == 200);
    CHECK(looksComplete(whole, true));
    CHECK(site.instances()[0].process->waitForExit(10) == 0);
}

TEST_CASE("planned stop: a request that surely ends before the grace time is served late in it")
{
    Site site("stop-short-requests");
    site.setTerminationGrace(8);
    setRoute(site, 4, "timeout_ms", 8000);
    site.publishTable();
    site.addUpstream("desk-1", "desk");
    Site::commandUpstream(site.addUpstream("chat-1", "chat"), R"({"events":26,"eventMs":250})");
    site.start(1);
    REQUIRE(site.waitReady());
    auto first = send(site, "/streamonce/stream/x", "first");
    REQUIRE(waitUntil([&] { return site.runsOf("first") == 1; }));
    site.instances()[0].process->signal(SIGTERM);
    std::this_thread::sleep_for(AddressUse + milliseconds(500));
    for (const char *path : {"/plain/x", "/booking/x"}) {
        const RawAnswer answer = send(site, path, path).get();
        CHECK(statusOf(answer) == 200);
        CHECK(looksComplete(answer, true));
        CHECK(answer.bytes.find("Connection: close\r\n") != std::string::npos);
    }
    CHECK(looksComplete(first.get(), true));
}

TEST_CASE("planned stop: requests in hand when the grace time ends get a whole answer that is true")
{
    Site site("stop-in-hand");
    site.setTerminationGrace(2);
    for (std::size_t route = 0; route < 5; ++route) {
        setRoute(site, route, "timeout_ms", 15'000);
        setRoute(site, route, "goal_ms", 15'000);
    }
    // Only requests of the most urgent rank wait for their turn.
    site.table().at("tenants").as_array().at(0).as_object()["priority"] = 0;
    site.publishTable();
    Site::commandUpstream(site.addUpstream("desk-1", "desk"), R"({"workMs":20000})");
    Site::commandUpstream(site.addUpstream("chat-1", "chat"), R"({"rate":"0.7"})");
    site.start(1);
    REQUIRE(site.waitReady());
    // The upstream names its rate in its answer, so that later requests wait for their turns.
    REQUIRE(site.call(0, callTo("/streamonce/stream/x", "learns-rate")));
    auto booking = send(site, "/booking/x", "booking");
    auto plain = send(site, "/plain/x", "plain");
    REQUIRE(waitUntil([&] { return site.runsOf("booking") == 1 && site.runsOf("plain") == 1; }));
    auto turn = send(site, "/streamonce/stream/x", "first-turn");
    REQUIRE(waitUntil([&] { return site.runsOf("first-turn") == 1; }));
    auto waiting = send(site, "/streamonce/stream/x", "waiting");
    std::this_thread::sleep_for(milliseconds(200));
    site.instances()[0].process->signal(SIGTERM);
    for (auto *sent : {&booking, &plain}) {
        const RawAnswer answer = sent->get();
        CHECK(statusOf(answer) == 502);
        CHECK(looksComplete(answer, true));
    }
    const RawAnswer refused = waiting.get();
    CHECK(statusOf(refused) == 503);
    CHECK(looksComplete(refused, true));
    CHECK(site.runsOf("waiting") == 0);
    CHECK(statusOf(turn.get()) == 200);
    CHECK(site.instances()[0].process->waitForExit(10) == 0);
}

TEST_CASE("planned stop: a request that has arrived in part when the grace time ends is refused as not run")
{
    Site site("stop-half-received");
    site.setTerminationGrace(2);
    setRoute(site, 2, "timeout_ms", 15'000);
    site.publishTable();
    Site::commandUpstream(site.addUpstream("desk-1", "desk"), R"({"workMs":20000})");
    site.start(1);
    REQUIRE(site.waitReady());
    auto booking = send(site, "/booking/x", "booking");
    REQUIRE(waitUntil([&] { return site.runsOf("booking") == 1; }));
    site.instances()[0].process->signal(SIGTERM);
    const std::string address = site.address(0, site.callerPort());
    auto half = std::async(std::launch::async, [&] {
        return exchangeBytes(address, requestTo("/booking/x", "half", 1000, "{"), CallTimeout);
    });
    const RawAnswer head = exchangeBytes(address, "POST /booking/x HTTP/1.1\r\nHost: site.ex", CallTimeout);
    for (const RawAnswer &answer : {half.get(), head}) {
        CHECK(statusOf(answer) == 503);
        CHECK(looksComplete(answer, true));
    }
    CHECK(statusOf(booking.get()) == 502);
    CHECK(site.runsOf("half") == 0);
}

TEST_CASE(
    "planned stop: streams that are sent early enough to be served are whole although upstreams fall silent")
{
    constexpr int Events = 40;
    Site site("stop-silent-upstreams");
    site.setTerminationGrace(8);
    for (const std::size_t route : {3U, 4U})
        setRoute(site, route, "timeout_ms", 12'000);
    site.publishTable();
    for (const char *id : {"chat-1", "chat-2"})
        Site::commandUpstream(site.addUpstream(id, "chat"), R"({"events":40,"eventMs":100})");
    site.start(2);
    REQUIRE(site.waitReady());
    // The instance learns how long the streams take.
    const std::vector<const char *> paths{"/stream/stream/x", "/streamonce/stream/x"};
    std::vector<std::future<std::optional<HttpResponse>>> earlier;
    for (int i = 0; i < 20; ++i) {
        earlier.push_back(std::async(std::launch::async, [&, i] {
            return site.call(0,
                             callTo(paths[static_cast<std::size_t>(i) % 2], "earlier-" + std::to_string(i)));
        }));
    }
    for (auto &answer : earlier)
        REQUIRE(answer.get());
    site.instances()[0].process->signal(SIGTERM);
    std::vector<std::future<RawAnswer>> streams;
    for (std::size_t i = 0; i < 29; ++i) {
        streams.push_back(send(site, paths[i % 2], "late-" + std::to_string(i)));
        std::this_thread::sleep_for(milliseconds(100));
    }
    std::this_thread::sleep_for(milliseconds(2000));
    for (std::size_t i = 0; i < site.upstreamCount(); ++i)
        site.upstreamAt(i).process->signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds(1300));
    for (std::size_t i = 0; i < site.upstreamCount(); ++i)
        site.upstreamAt(i).process->signal(SIGCONT);
    int whole = 0;
    for (std::size_t i = 0; i < streams.size(); ++i) {
        CAPTURE(i);
        const RawAnswer answer = streams[i].get();
        CHECK(looksComplete(answer, true));
        const bool isServed = statusOf(answer) == 200;
        CHECK((isServed || statusOf(answer) == 503));
        CHECK(isServed == (answer.bytes.find("id: " + std::to_string(Events) + "\n") != std::string::npos));
        whole += isServed ? 1 : 0;
    }
    CHECK(whole > 0);
}
