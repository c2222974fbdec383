#include "site.h"

#include <doctest/doctest.h>

#include <csignal>
#include <thread>

using namespace chestnutsill;
using support::callTo;
using support::Site;
using support::SiteCall;
using support::waitUntil;

namespace {

constexpr const char *CompleteStream = "id: 1\ndata: token\n\nid: 2\ndata: token\n\nid: 3\ndata: token\n\n"
                                       "id: 4\ndata: token\n\nid: 5\ndata: token\n\nid: 6\ndata: token\n\n";

} // namespace

TEST_CASE("entry: requests of each kind reach an upstream and callers receive complete responses")
{
    Site site("calm");
    const auto &desk = site.addUpstream("desk-1", "desk");
    const auto &chat = site.addUpstream("chat-1", "chat");
    site.start(2);
    REQUIRE(site.waitReady());
    SiteCall plain = callTo("/plain/x?y=z", "p1");
    plain.fields = {{"X-Deadline-Ms", "900"}, {"X-Tenant", "forged"}};
    const auto answer = site.call(0, plain);
    REQUIRE(answer);
    CHECK(answer->head.status == 200);
    CHECK(answer->body == "body of p1");
    CHECK(answer->head.field("X-Server-Seal") == "desk-1.p1");
    CHECK(Site::stat(desk, "account") == "account-1");
    CHECK(Site::stat(desk, "keySeen") == false);
    CHECK(std::stoi(Site::stat(desk, "deadlineMs").as_string().c_str()) <= 900);
    CHECK(site.call(1, callTo("/booking/x", "b1"))->body == "body of b1");
    CHECK(site.call(1, callTo("/stream/x", "s1"))->body == CompleteStream);
    // The tier of the account (1) takes precedence over that of the route (1 of 0 to 2).
    CHECK(Site::stat(chat, "rank") == "4");
    CHECK(site.runsOf("p1") + site.runsOf("b1") + site.runsOf("s1") == 3);
}

TEST_CASE("entry: unknown keys, unknown routes and oversized requests are refused, and nothing runs")
{
    Site site("refusals");
    site.addUpstream("desk-1", "desk");
    site.start(1);
    REQUIRE(site.waitReady());
    SiteCall call = callTo("/plain/x", "r1");
    call.key = "key-9";
    CHECK(site.call(0, call)->head.status == 401);
    call.key.clear();
    CHECK(site.call(0, call)->head.status == 401);
    CHECK(site.call(0, callTo("/elsewhere/x", "r1"))->head.status == 404);
    call = callTo("/open/x", "r2");
    call.key.clear();
    CHECK(site.call(0, call)->head.status == 200);
    call = callTo("/plain/x", "r1", std::string(100'000, 'x'));
    CHECK(site.call(0, call)->head.status == 413);
    call = callTo("/plain/x", "r1");
    call.fields = {{"X-Long", std::string(20'000, 'x')}};
    CHECK(site.call(0, call)->head.status == 431);
    CHECK(site.runsOf("r1") == 0);
}

TEST_CASE(
    "entry: a published configuration takes effect on all instances; removed keys and routes are refused")
{
    Site site("configuration");
    site.addUpstream("desk-1", "desk");
    site.start(3);
    REQUIRE(site.waitReady());
    site.table()["tenants"].as_array().erase(site.table()["tenants"].as_array().begin());
    site.table()["routes"].as_array().erase(site.table()["routes"].as_array().begin() + 1);
    site.publishTable();
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(waitUntil(
            [&] { return site.call(i, callTo("/plain/x", "k" + std::to_string(i)))->head.status == 401; }));
        SiteCall other = callTo("/open/x", "o");
        other.key = "key-2";
        CHECK(site.call(i, other)->head.status == 404);
    }
}

TEST_CASE("entry: keys that the store can't confirm are refused, and routes without keys keep working")
{
    Site site("stale");
    const auto &desk = site.addUpstream("desk-1", "desk");
    site.start(2, 3000);
    REQUIRE(site.waitReady());
    site.commandStore(R"({"mode":"silent"})");
    CHECK(waitUntil([&] { return site.call(0, callTo("/plain/x", "u1"))->head.status == 503; }));
    const auto refused = site.call(0, callTo("/booking/x", "u2"));
    CHECK(refused->head.status == 503);
    CHECK_FALSE(refused->head.field("Retry-After").empty());
    CHECK(site.runsOf("u2") == 0);
    SiteCall open = callTo("/open/x", "u3");
    open.key.clear();
    CHECK(site.call(0, open)->head.status == 200);
    CHECK(Site::stat(desk, "started").as_int64() >= 1);
    site.commandStore(R"({"mode":"pass"})");
    CHECK(waitUntil([&] { return site.call(0, callTo("/plain/x", "u4"))->head.status == 200; }));
}

TEST_CASE("entry: an instance resumed after SIGSTOP accepts no key that was revoked meanwhile")
{
    Site site("frozen");
    site.addUpstream("desk-1", "desk");
    site.start(2, 2500);
    REQUIRE(site.waitReady());
    site.instances()[0].process->signal(SIGSTOP);
    site.table()["tenants"].as_array().erase(site.table()["tenants"].as_array().begin());
    site.publishTable();
    std::this_thread::sleep_for(std::chrono::milliseconds(2600));
    // The store stays silent after SIGCONT, so only the age of the last confirmation shows that the key may
    // be revoked.
    site.commandStore(R"({"mode":"silent"})");
    site.instances()[1].process->kill();
    site.instances()[0].process->signal(SIGCONT);
    for (int i = 0; i < 20; ++i) {
        const auto answer = site.call(0, callTo("/plain/x", "f" + std::to_string(i)));
        CHECK((answer->head.status == 503 || answer->head.status == 401));
        CHECK(site.runsOf("f" + std::to_string(i)) == 0);
    }
}

TEST_CASE("entry: zones out of service and draining upstreams get no new requests until they return")
{
    Site site("zones");
    const auto &near = site.addUpstream("desk-1", "desk", "a");
    const auto &far = site.addUpstream("desk-2", "desk", "b");
    site.start(1);
    REQUIRE(site.waitReady());
    const auto usable = [&](const std::string &id) {
        const boost::json::object state = site.state(0);
        for (const auto &upstream : state.at("upstreams").as_array()) {
            if (boost::json::value_to<std::string>(upstream.at("upstream")) == id)
                return upstream.at("usable").as_bool();
        }
        return false;
    };
    site.writeItem("op/evacuate/a", "{}");
    CHECK(waitUntil([&] { return !usable("desk-1"); }));
    const auto before = Site::stat(near, "started");
    for (int i = 0; i < 10; ++i)
        CHECK(site.call(0, callTo("/plain/x", "z" + std::to_string(i)))->head.status == 200);
    CHECK(Site::stat(near, "started") == before);
    site.removeItem("op/evacuate/a");
    site.publishUpstream(far, "draining");
    CHECK(waitUntil([&] { return usable("desk-1") && !usable("desk-2"); }));
    const auto left = Site::stat(far, "started");
    for (int i = 0; i < 10; ++i)
        CHECK(site.call(0, callTo("/plain/x", "y" + std::to_string(i)))->head.status == 200);
    CHECK(Site::stat(far, "started") == left);
    site.publishUpstream(near, "");
    CHECK(waitUntil([&] { return !usable("desk-1"); }));
    CHECK(site.call(0, callTo("/plain/x", "none"))->head.status == 503);
}

TEST_CASE("entry: malformed entries are ignored and don't affect other upstreams")
{
    Site site("entries");
    site.addUpstream("desk-1", "desk");
    site.writeItem("servers/odd-1", "\xff\xfe");
    site.writeItem("servers/odd-2", R"({"service":"desk","address":"nowhere","state":"dreaming"})");
    site.writeItem("servers/odd-3", "[]");
    site.start(1);
    REQUIRE(site.waitReady());
    CHECK(site.call(0, callTo("/plain/x", "e1"))->head.status == 200);
}

TEST_CASE("entry: after the store drops its history, all items are read again")
{
    Site site("history");
    site.addUpstream("desk-1", "desk");
    site.start(1);
    REQUIRE(site.waitReady());
    site.commandStore(R"({"mode":"refuse"})");
    site.publishUpstream(site.upstream("desk-1"), "draining");
    site.addUpstream("desk-2", "desk");
    site.commandStore(R"({"mode":"pass","dropHistory":true})");
    CHECK(waitUntil([&] {
        return site.call(0, callTo("/plain/x", ""))->head.field("X-Server-Seal").starts_with("desk-2");
    }));
}

TEST_CASE("entry: an instance gets the configuration from a peer while the store doesn't respond")
{
    Site site("peers");
    site.addUpstream("desk-1", "desk");
    site.start(2);
    REQUIRE(site.waitReady());
    site.commandStore(R"({"mode":"silent"})");
    site.instances()[1].process->kill();
    site.startInstance(1);
    const auto version = site.state(0).at("configVersion");
    CHECK(waitUntil([&] {
        const boost::json::object state = site.state(1);
        return !state.empty() && state.at("configVersion") == version;
    }));
}
