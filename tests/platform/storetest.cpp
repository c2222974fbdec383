#include "platform/store.h"

#include "chestnutsill/net/httpserver.h"
#include "platform/published.h"

#include <boost/json.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace chestnutsill;
using namespace chestnutsill::platform;

namespace json = boost::json;

namespace {

constexpr const char *Address = "127.0.0.1:28733";
constexpr const char *EncodedValue = "e30=";

/// A store of items in pages, each with the value `EncodedValue` unless it has another one.
struct PagedStore
{
    std::map<std::string, std::string> values;
    std::size_t pageSize = 2;
    /// Number of pages read.
    int pages = 0;
    /// Answers every call with the first page.
    bool repeatsFirstPage = false;
    /// Ends each page after the first one without items, and says that more follow.
    bool endsEmpty = false;
    /// Era of the responses, and the number of pages after which it rises by one.
    std::uint64_t era = 1;
    int restoredAfterPages = -1;
};

void answer(PagedStore &store, Exchange &exchange, const Fiber &fiber)
{
    const auto url = boost::urls::parse_origin_form(exchange.request().target);
    REQUIRE(url);
    const auto params = url->params();
    const auto after = params.find("after");
    auto item = after == params.end() || store.repeatsFirstPage ? store.values.begin()
                                                                : store.values.upper_bound((*after).value);
    json::array items;
    for (; item != store.values.end() && items.size() < store.pageSize; ++item)
        items.push_back({{"key", item->first},
                         {"value", item->second.empty() ? EncodedValue : item->second},
                         {"revision", 7}});
    if (store.endsEmpty && store.pages > 0)
        items.clear();
    if (++store.pages == store.restoredAfterPages)
        ++store.era;
    const json::object body{{"items", items}, {"has_more", item != store.values.end()}, {"at", 9}};
    const std::vector<HttpField> fields{{"Store-Era", std::to_string(store.era)}};
    exchange.respond(200, "application/json", json::serialize(body), fields, fiber);
}

/// Result of a read of all items, and why it failed.
struct ReadResult
{
    std::optional<StoreResponse> response;
    StoreFailure failure = StoreFailure::None;
};

ReadResult readAll(PagedStore &store)
{
    boost::asio::io_context io;
    const HttpServer server(io, Address, HttpLimits{},
                            [&](Exchange &exchange, const Fiber &fiber) { answer(store, exchange, fiber); });
    ReadResult result;
    startFiber(io, [&](const Fiber &fiber) {
        StoreClient client(Address);
        result.response = client.readAll(milliseconds(5000), fiber);
        result.failure = client.lastFailure();
        io.stop();
    });
    io.run();
    return result;
}

std::vector<std::string> keysOf(const StoreResponse &response)
{
    std::vector<std::string> keys;
    for (const PublishedItem &item : response.items)
        keys.push_back(item.key);
    return keys;
}

} // namespace

// Guards against pages that are read again without end after a key with bytes that have a meaning in a query.
TEST_CASE("store: a page that ends with any key is followed by the next one, and no item is passed over")
{
    for (const std::string &odd : {std::string("a&b"), std::string("a%26b"), std::string("a+b"),
                                   std::string("a b"), std::string("a#b"), std::string("a?b"),
                                   std::string("a=b"), std::string("a%7A&y"), std::string("a\xff\x01")}) {
        CAPTURE(odd);
        PagedStore store;
        store.pageSize = 1;
        for (const std::string &id : {std::string("a"), odd, std::string("a&"), std::string("a&c"),
                                      std::string("azz"), std::string("z")})
            store.values["servers/" + id];
        const ReadResult result = readAll(store);
        REQUIRE(result.response);
        std::vector<std::string> keys;
        for (const auto &[key, value] : store.values)
            keys.push_back(key);
        CHECK(keysOf(*result.response) == keys);
        CHECK(store.pages == static_cast<int>(keys.size()));
    }
}

// Guards against a read without end, and against a part of the items taken for all of them.
TEST_CASE("store: a read fails if a page does not go on after the one before")
{
    PagedStore repeated;
    repeated.values = {{"op/config", ""}, {"servers/a", ""}, {"servers/b", ""}};
    repeated.repeatsFirstPage = true;
    ReadResult result = readAll(repeated);
    CHECK_FALSE(result.response);
    CHECK(result.failure == StoreFailure::NoProgress);
    CHECK(repeated.pages == 2);

    PagedStore empty;
    empty.values = {
        {"op/config", ""}, {"servers/a", ""}, {"servers/b", ""}, {"servers/c", ""}, {"servers/d", ""}};
    empty.endsEmpty = true;
    result = readAll(empty);
    CHECK_FALSE(result.response);
    CHECK(result.failure == StoreFailure::NoProgress);
}

TEST_CASE("store: an item of a peer is reduced to what is of use, and its memory is freed")
{
    const std::string large(1 << 20, 'x');
    for (const char *key : {"op/evacuate/a", "servers/a"}) {
        PublishedItem item{key, large, 7, false};
        CHECK(reduceItem(item));
        CHECK(item.value.capacity() < 1000);
    }
    PublishedItem other{"batch/1", large, 7, false};
    CHECK_FALSE(reduceItem(other));
    PublishedItem table{"op/config", large, 7, false};
    CHECK(reduceItem(table));
    CHECK(table.value == large);
    PublishedItem entry{"servers/a", "{}", 7, false};
    CHECK(reduceItem(entry));
    CHECK(entry.value == "{}");
}

TEST_CASE("store: a read begins anew when the store is restored between two pages")
{
    PagedStore store;
    store.values = {{"op/config", ""}, {"servers/a", ""}, {"servers/b", ""}};
    store.pageSize = 1;
    store.restoredAfterPages = 2;
    const ReadResult result = readAll(store);
    REQUIRE(result.response);
    CHECK(result.response->revision.era == 2);
    CHECK(keysOf(*result.response) == std::vector<std::string>{"op/config", "servers/a", "servers/b"});
}

// Guards against values of other writers that fill the memory of an instance.
TEST_CASE("store: items of no use are passed over, and values too large for an entry are not kept")
{
    PagedStore store;
    const std::string large(1 << 20, 'A');
    store.values = {{"batch/1", large},       {"batch/2", large},  {"op/config", ""},
                    {"op/evacuate/a", large}, {"op/other", large}, {"servers/a", large},
                    {"servers/b", ""},        {"zoo/1", large},    {"zoo/2", large}};
    store.pageSize = 1;
    const ReadResult result = readAll(store);
    REQUIRE(result.response);
    CHECK(keysOf(*result.response)
          == std::vector<std::string>{"op/config", "op/evacuate/a", "servers/a", "servers/b"});
    CHECK(result.response->items[0].value == "{}");
    CHECK(result.response->items[1].value.empty());
    CHECK(result.response->items[2].value.empty());
    // Nor is their memory kept.
    for (const PublishedItem &item : result.response->items)
        CHECK(item.value.capacity() < 1000);
    CHECK(result.response->items[3].value == "{}");
    // Neither the second item before the first key of use nor the second after the last one.
    CHECK(store.pages == 7);
}
