#include "site.h"

#include <doctest/doctest.h>

#include <functional>
#include <string>

using namespace chestnutsill;
using support::callTo;
using support::Site;

namespace {

/// Items that no reader of the store understands, as another writer may leave them.
constexpr const char *OddItems =
    R"({"oddItems":[17,null,[],{"key":5,"revision":3},{"key":"servers/odd-1","revision":"x","value":"AA=="},)"
    R"({"key":"servers/odd-2","revision":7,"value":"%%%"},{"key":"servers/odd-3","revision":7,"value":{"a":1}},)"
    R"({"key":"servers/odd-4","revision":1e300,"value":"AA=="},{"revision":7,"value":"AA=="}]})";

/// Waits until an instance uses exactly these upstreams.
bool follows(const Site &site, std::size_t instance, std::size_t upstreams)
{
    return support::waitUntil([&] {
        const boost::json::object state = site.state(instance);
        return state.contains("upstreams") && state.at("upstreams").as_array().size() == upstreams;
    });
}

/// Kills all instances, starts them again, and waits until they serve.
bool restartAll(Site &site)
{
    for (Site::Instance &instance : site.instances())
        instance.process->kill();
    for (std::size_t i = 0; i < site.instances().size(); ++i)
        site.startInstance(i);
    return support::waitUntil([&] {
        for (std::size_t i = 0; i < site.instances().size(); ++i) {
            if (site.readiness(i) != 200)
                return false;
        }
        return true;
    });
}

/// Checks that each instance uses exactly these upstreams and serves a request.
void checkServes(Site &site, std::size_t upstreams)
{
    for (std::size_t i = 0; i < site.instances().size(); ++i) {
        CAPTURE(i);
        CHECK(follows(site, i, upstreams));
        const auto answer = site.call(i, callTo("/plain/x", ""));
        const bool isServed = answer && answer->head.status == 200;
        CHECK(isServed);
    }
}

/// Publishes the entry of an upstream a second time, under another id.
void publishCopy(Site &site, const Site::Upstream &upstream, const std::string &id)
{
    site.publishUpstream({.id = id,
                          .service = upstream.service,
                          .zone = upstream.zone,
                          .address = {},
                          .publishedAddress = upstream.publishedAddress},
                         "ready");
}

/// Pages as large as those of the platform's store.
constexpr const char *LargePages = R"({"pageItems":500,"pageBytes":1000000})";

/// Keys of another writer with bytes that have a meaning in a query.
constexpr const char *OddKeys[] = {"servers/i-41&batch", "servers/i-41+batch", "servers/i-41#batch",
                                   "servers/i-41%26batch", "servers/i-41 batch"};

/// Checks for each of these keys that instances serve beside what `writeOdd` writes under it, also after a
/// restart. Sound entries sort before and after it.
void checkRestartBeside(const std::function<void(Site &site, const std::string &key)> &writeOdd)
{
    for (const std::string key : OddKeys) {
        CAPTURE(key);
        Site site("odd-pages");
        site.commandStore(LargePages);
        site.addUpstream("i-40", "desk");
        site.addUpstream("i-42", "desk");
        site.start(2);
        REQUIRE(site.waitReady());
        writeOdd(site, key);
        checkServes(site, 2);
        CHECK(restartAll(site));
        checkServes(site, 2);
    }
}

} // namespace

TEST_CASE(
    "odd entry: items that can't be read are left out, and the others are followed, from the start and later")
{
    Site site("odd-items");
    site.commandStore(OddItems);
    site.addUpstream("desk-1", "desk");
    site.start(2);
    REQUIRE(site.waitReady());
    site.addUpstream("desk-2", "desk");
    for (std::size_t i = 0; i < 2; ++i) {
        CHECK(follows(site, i, 2));
        CHECK(site.call(i, callTo("/plain/x", ""))->head.status == 200);
        CHECK(site.instances()[i].process->waitForExit(0) == -1);
    }
}

TEST_CASE("odd entry: upstreams that are nested deeply or have numbers or ports out of range are left out")
{
    Site site("odd-entries");
    site.addUpstream("desk-1", "desk");
    const std::string deep(100'000, '[');
    const std::string start =
        R"({"service":"desk","zone":"a","version":"v","state":"ready","cold_remaining_ms":0,"sequence":1,)";
    const std::vector<std::string> values{
        deep,
        start + R"("address":"127.0.0.1:70000","slots":4})",
        start + R"("address":"127.0.0.1:1","slots":1e400})",
        start + R"("address":"127.0.0.1:1","slots":99999999999999999999})",
        start + R"("address":17,"slots":4})",
        start + R"("address":"127.0.0.1:1","slots":4,"deep":)" + deep + "}",
        start + "\"address\":\"\xff\xfe\",\"slots\":4}",
        "",
    };
    const auto writeOdd = [&](const std::string &prefix) {
        for (std::size_t i = 0; i < values.size(); ++i)
            site.writeItem("servers/" + prefix + std::to_string(i), values[i]);
    };
    writeOdd("before-");
    // Enough instances that most of them read from a hub.
    site.start(13);
    REQUIRE(site.waitReady());
    writeOdd("later-");
    site.addUpstream("desk-2", "desk");
    for (std::size_t i = 0; i < 13; ++i) {
        CHECK(follows(site, i, 2));
        CHECK(site.call(i, callTo("/plain/x", ""))->head.status == 200);
        CHECK(site.instances()[i].process->waitForExit(0) == -1);
    }
}

// Guards against instances that restart and read one page of the store again without end.
TEST_CASE("odd entry: keys that end a page of the store don't keep instances that restart from serving")
{
    for (const std::string id : {"i&batch", "i+a b", "i#x", "i%26", "desk%7A&y", "i\xff"}) {
        CAPTURE(id);
        Site site("odd-key");
        // More than a page of the stand-in holds, so that each of the pages from the first one on may end
        // with one.
        for (int i = 0; i < 8; ++i)
            site.writeItem("servers/" + id + std::to_string(i), std::string(20'000, 'x'));
        site.addUpstream("zone-desk", "desk");
        site.start(2);
        CHECK(site.waitReady());
        CHECK(restartAll(site));
        checkServes(site, 1);
    }
}

TEST_CASE(
    "odd entry: instances serve after a restart beside a list of several pages by the bytes of an entry")
{
    checkRestartBeside(
        [](Site &site, const std::string &key) { site.writeItem(key, std::string(1 << 20, 'x')); });
}

TEST_CASE(
    "odd entry: instances serve after a restart beside a list of several pages by the number of entries")
{
    // Three pages, the first two of which end with one of them.
    checkRestartBeside([](Site &site, const std::string &key) {
        for (int i = 0; i < 1100; ++i)
            site.writeItem(key + std::to_string(i), "{}");
    });
}

// Guards against one key that makes all of its page, of an answer to a watch or of a feed unreadable.
TEST_CASE("odd entry: a key with half of a surrogate pair leaves the others, while instances run and after a "
          "restart")
{
    struct Case
    {
        const char *key;
        std::size_t valueSize;
    };
    for (const auto &[key, valueSize] :
         {Case{"servers/i-41\xff", 20}, Case{"servers/i-41\xff", 1 << 20}, Case{"servers/\x80", 1 << 20},
          Case{"op/\xff", 20}, Case{"a\xff", 1 << 20}, Case{"zz\xff", 20}}) {
        CAPTURE(std::string(key));
        CAPTURE(valueSize);
        Site site("odd-surrogate");
        site.commandStore(LargePages);
        site.commandStore(R"({"escapeBytes":true})");
        site.addUpstream("i-40", "desk");
        site.start(2);
        REQUIRE(site.waitReady());
        site.writeItem(key, std::string(valueSize, 'x'));
        site.addUpstream("i-42", "desk");
        checkServes(site, 2);
        CHECK(restartAll(site));
        checkServes(site, 2);
        site.removeItem(key);
        site.addUpstream("i-43", "desk");
        checkServes(site, 3);
    }
}

TEST_CASE("odd entry: keys with halves of surrogate pairs that fill several pages leave the others, for "
          "followers too")
{
    Site site("odd-surrogates");
    site.commandStore(R"({"escapeBytes":true})");
    site.addUpstream("i-40", "desk");
    // Enough instances that most of them read from a hub.
    site.start(13);
    REQUIRE(site.waitReady());
    for (int i = 0; i < 12; ++i)
        site.writeItem("servers/i-41\xff" + std::to_string(i), "{}");
    site.addUpstream("i-42", "desk");
    checkServes(site, 2);
    CHECK(restartAll(site));
    checkServes(site, 2);
}

// Guards against an entry that takes requests of its service again and again.
TEST_CASE("odd entry: a copy of an entry under another id is left alone when the upstream has said that it "
          "isn't it")
{
    for (const std::string id : {"i-41&batch", "i-42+ %", "i-43"}) {
        CAPTURE(id);
        Site site("odd-copy");
        site.addUpstream("i-40", "desk");
        publishCopy(site, site.upstream("i-40"), id);
        site.start(1);
        REQUIRE(follows(site, 0, 2));
        REQUIRE(support::waitUntil([&] { return site.readiness(0) == 200; }));
        // For the route of bookings, one attempt that the copy takes is the only one of its request.
        constexpr int Requests = 200;
        int served = 0;
        for (int i = 0; i < Requests; ++i) {
            const auto answer = site.call(0, callTo("/booking/x", ""));
            served += answer && answer->head.status == 200 ? 1 : 0;
        }
        // The first refusal, and at most one more each time that the copy is tried again, after 0.2 s, twice
        // as long, and so on: eight in 50 s.
        CHECK(served >= Requests - 8);
        // An entry with its own address is used at once.
        site.addUpstream(id, "desk");
        CHECK(support::waitUntil([&] {
            (void)site.call(0, callTo("/plain/x", ""));
            return site.stat(site.upstream(id), "started").as_int64() > 0;
        }));
    }
}

// Guards against ids that add fields to the head of a request.
TEST_CASE("odd entry: an id with control characters names no upstream, and adds nothing to requests")
{
    Site site("odd-id");
    site.addUpstream("i-40", "desk");
    const Site::Upstream &desk = site.upstream("i-40");
    for (const char *id : {"i-40\r\nX-Tenant: other", "i-40\nX-Tenant: other",
                           "i-40\r\n\r\nGET /a HTTP/1.1\r\n\r\n", "i-40\x01", "i-40\x7f"})
        publishCopy(site, desk, id);
    site.start(1);
    CHECK(support::waitUntil([&] { return site.readiness(0) == 200; }));
    CHECK(follows(site, 0, 1));
    for (int i = 0; i < 50; ++i) {
        const auto answer = site.call(0, callTo("/plain/x", ""));
        const bool isServed = answer && answer->head.status == 200;
        CHECK(isServed);
        CHECK(site.stat(desk, "account") == "account-1");
    }
}

TEST_CASE("odd entry: a routing table with halves of surrogate pairs is in force, also after a restart")
{
    Site site("odd-table");
    site.addUpstream("i-40", "desk");
    site.start(2);
    REQUIRE(site.waitReady());
    boost::json::object table = site.table();
    table["version"] = 1000;
    table["tenants"].as_array().push_back(
        {{"name", "account-new"}, {"api_keys", {"key-new"}}, {"priority", 1}});
    std::string text = boost::json::serialize(table);
    const std::string_view key = R"("key-new")";
    text.replace(text.find(key), key.size(), R"("\udcff","key-new"],"note":["\ud83d")");
    site.writeItem("op/config", text);
    support::SiteCall request = callTo("/plain/x", "");
    request.key = "key-new";
    const auto serves = [&](std::size_t instance) {
        return support::waitUntil([&] {
            const auto answer = site.call(instance, request);
            return answer && answer->head.status == 200;
        });
    };
    CHECK(serves(0));
    CHECK(serves(1));
    CHECK(restartAll(site));
    CHECK(serves(0));
    CHECK(serves(1));
}
