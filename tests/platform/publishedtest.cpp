#include "platform/published.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace chestnutsill;
using platform::ItemKey;

namespace {

constexpr const char *Table = R"({"version": 7,
  "routes": [
    {"name": "r1", "hostname": "h.example", "path_prefix": "/a/", "route_kind": "streaming", "timeout_ms": 4000,
     "goal_ms": 800, "priority": 1, "service": "chat", "max_attempts": 2, "anonymous": false, "affinity": true,
     "resumable": true, "target_gap_ms": 600},
    {"name": "r2", "hostname": "h.example", "path_prefix": "/b/", "route_kind": "unsafe", "timeout_ms": 1000,
     "priority": 2, "split": [{"service": "desk", "weight": 90}, {"service": "new-desk", "weight": 10}],
     "max_attempts": 1, "anonymous": true}],
  "services": [
    {"name": "chat", "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false,
     "cold_start_s": 3.5, "cold_per_s": 6.6, "engine": {"slots": 64, "kv_capacity": 513595, "stride": 7,
     "kv_token_bytes": 20000, "link_mbps": 400000.0}},
    {"name": "desk", "health_path": "/healthz", "cold_start_s": 0, "cold_per_s": 0}],
  "limits": {"max_header_bytes": 8192, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
             "idle_timeout_ms": 15000},
  "tenants": [{"name": "t1", "api_keys": ["k1", "k2"], "priority": 1}, {"name": "t2", "api_keys": []}]})";

constexpr const char *Entry =
    R"({"service": "chat", "address": "127.0.0.1:8080", "zone": "a", "version": "v1",
  "slots": 64, "state": "ready", "cold_remaining_ms": 1200, "sequence": 4, "born": 1700000000000})";

std::optional<UpstreamEntry> entryWith(const char *field, const boost::json::value &value)
{
    boost::json::value document = boost::json::parse(Entry);
    document.as_object()[field] = value;
    ValidationErrors errors;
    return platform::parseUpstreamEntry("u1", boost::json::serialize(document), errors);
}

} // namespace

TEST_CASE("published: all fields of a routing table are decoded")
{
    ValidationErrors errors;
    const auto table = platform::parseTable(Table, errors);
    REQUIRE(table);
    CHECK(table->version == 7);
    REQUIRE(table->routes.size() == 2);
    const Route &stream = table->routes[0];
    CHECK(stream.kind == RouteKind::Streaming);
    CHECK(stream.resumable);
    CHECK(stream.timeout == seconds(4));
    CHECK(stream.target == milliseconds(800));
    CHECK(stream.gapTarget == milliseconds(600));
    CHECK(stream.tier == 1);
    CHECK(stream.maxAttempts == 2);
    CHECK(stream.services[0].service == "chat");
    const Route &split = table->routes[1];
    CHECK(split.kind == RouteKind::AtMostOnce);
    CHECK(split.anonymous);
    CHECK(split.services.size() == 2);
    CHECK(split.services[1].weight == 10);
    const Service &chat = table->services.at("chat");
    CHECK(chat.coldStart == milliseconds(3500));
    CHECK(chat.coldPerSecond == doctest::Approx(6.6));
    CHECK(chat.engine->cacheTokens == 513595);
    // 400 Gbit/s are 50 MB per millisecond, at 20,000 bytes per token.
    CHECK(chat.engine->fetchTokensPerMs == doctest::Approx(2500));
    CHECK_FALSE(table->services.at("desk").engine);
    CHECK(table->limits.maxHead == 8192);
    CHECK(findAccount(*table, "k2")->name == "t1");
    CHECK(findAccount(*table, "k2")->tier == 1);
    CHECK_FALSE(table->accounts[1].tier);
}

TEST_CASE("published: an invalid table is rejected and the error names the field")
{
    struct Case
    {
        const char *pointer;
        boost::json::value value;
        const char *path;
    };
    const std::vector<Case> cases{
        {"/version", "seven", "version"},
        {"/routes/0/route_kind", "sometimes", "routes[0].route_kind"},
        {"/routes/0/timeout_ms", -5, "routes[0].timeout_ms"},
        {"/routes/1/split/0/weight", "all", "routes[1].split[0].weight"},
        {"/services/0/name", "", "services[0].name"},
        {"/tenants/0/name", 5, "tenants[0].name"},
    };
    for (const Case &item : cases) {
        CAPTURE(item.pointer);
        boost::json::value document = boost::json::parse(Table);
        document.at_pointer(item.pointer) = item.value;
        ValidationErrors errors;
        CHECK_FALSE(platform::parseTable(boost::json::serialize(document), errors));
        REQUIRE_FALSE(errors.empty());
        CHECK(errors[0].path == item.path);
    }
}

// Guards against a table that is refused for one string that nobody can send.
TEST_CASE("published: halves of surrogate pairs leave the rest of a table, and keys with one are left out")
{
    std::string text = Table;
    const auto replace = [&](std::string_view from, std::string_view to) {
        text.replace(text.find(from), from.size(), to);
    };
    replace(R"("k1")", R"("k1", "k\udcff", "\ud83d")");
    replace(R"("name": "r2")", R"("name": "r2\udcff", "note": "\ud800")");
    replace(R"("name": "t2")", R"("name": "t2\udfff")");
    ValidationErrors errors;
    const auto document = platform::parseTableDocument(text, errors);
    REQUIRE(document);
    CHECK(errors.empty());
    CHECK(document->accounts[0].keys == std::vector<std::string>{"k1", "k2"});
    CHECK(document->accounts[0].ignoredKeys == 2);
    CHECK(document->accounts[1].account.name == "t2\xED\xBF\xBF");
    CHECK(document->routes[1].route.name == "r2\xED\xB3\xBF");
    CHECK(document->routes[1].route.pathPrefix == "/b/");
}

TEST_CASE("published: the entry of an upstream is decoded")
{
    ValidationErrors errors;
    const auto entry = platform::parseUpstreamEntry("u1", Entry, errors);
    REQUIRE(entry);
    CHECK(entry->id == "u1");
    CHECK(entry->service == "chat");
    CHECK(entry->address == "127.0.0.1:8080");
    CHECK(entry->softwareVersion == "v1");
    CHECK(entry->slots == 64);
    CHECK(entry->coldRemaining == milliseconds(1200));
    CHECK(entry->startUnixMs == 1700000000000);
    CHECK_FALSE(entry->leaving);
    CHECK(entryWith("state", "draining")->leaving);
}

TEST_CASE("published: malformed entries are rejected")
{
    CHECK_FALSE(entryWith("state", "dreaming"));
    CHECK_FALSE(entryWith("slots", "many"));
    CHECK_FALSE(entryWith("slots", 0));
    CHECK_FALSE(entryWith("address", "localhost"));
    CHECK_FALSE(entryWith("zone", 3));
    CHECK_FALSE(entryWith("version", 2));
    CHECK_FALSE(entryWith("cold_remaining_ms", "cold"));
    CHECK_FALSE(entryWith("born", 1.5));
    ValidationErrors errors;
    CHECK_FALSE(platform::parseUpstreamEntry("u1", "\xff\xfe", errors));
    CHECK_FALSE(platform::parseUpstreamEntry("u1", "[]", errors));
}

TEST_CASE("published: an entry whose id can't stand in a field of a request is rejected")
{
    using namespace std::string_view_literals;
    for (const std::string_view id : {"u\r\nX-Tenant: a"sv, "u\n"sv, "\0u"sv, "u\t"sv, "u\x7f"sv}) {
        ValidationErrors errors;
        CHECK_FALSE(platform::parseUpstreamEntry(id, Entry, errors));
        REQUIRE(errors.size() == 1);
        CHECK(errors[0].path == "id");
    }
    ValidationErrors errors;
    CHECK(platform::parseUpstreamEntry("u 1&+\xff", Entry, errors));
}

TEST_CASE("published: keys of items are decoded")
{
    CHECK(platform::parseItemKey("op/config").kind == ItemKey::Kind::Table);
    CHECK(platform::parseItemKey("op/evacuate/a").kind == ItemKey::Kind::ZoneOutOfService);
    CHECK(platform::parseItemKey("op/evacuate/a").name == "a");
    CHECK(platform::parseItemKey("servers/u1").name == "u1");
    CHECK(platform::parseItemKey("op/configuration").kind == ItemKey::Kind::Other);
    CHECK(platform::parseItemKey(platform::upstreamKey("u1")).name == "u1");
    CHECK(platform::parseItemKey(platform::zoneOutOfServiceKey("a")).name == "a");
}

TEST_CASE("published: mutated documents are either decoded or rejected with an error")
{
    const auto mutate = [](std::string text) {
        const auto changes = *rc::gen::inRange(1, 6);
        for (int i = 0; i < changes; ++i)
            text[*rc::gen::inRange<std::size_t>(0, text.size())] =
                static_cast<char>(*rc::gen::inRange(0, 256));
        return text;
    };
    rc::check("tables", [&] {
        ValidationErrors errors;
        const auto table = platform::parseTable(mutate(Table), errors);
        RC_ASSERT((table == nullptr) == !errors.empty());
    });
    rc::check("entries", [&] {
        ValidationErrors errors;
        const auto entry = platform::parseUpstreamEntry("u1", mutate(Entry), errors);
        RC_ASSERT(entry.has_value() == errors.empty());
    });
}
