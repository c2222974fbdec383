#include "platform/store.h"

#include "chestnutsill/net/httpserver.h"
#include "platform/published.h"

#include <boost/json.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>

using namespace chestnutsill;
using namespace chestnutsill::platform;

namespace json = boost::json;
using namespace std::string_literals;

namespace {

constexpr const char *Address = "127.0.0.1:28733";
constexpr const char *EncodedValue = "e30=";

/// How the store reads a key after which a page begins.
enum class KeyReading {
    Bytes,
    /// Each byte that is not UTF-8 as the code point U+DC00 + byte.
    Surrogates,
    /// Each byte that is not UTF-8 as U+FFFD.
    Replaced,
    /// Rejects bytes that are not UTF-8.
    Rejected,
};

/// A store of items in pages, each with the value `EncodedValue` unless it has another one.
struct PagedStore
{
    std::map<std::string, std::string> values;
    /// JSON texts of keys that are not written as they are.
    std::map<std::string, std::string> writtenKeys;
    /// Items that every page holds besides, as JSON text.
    std::string oddItems;
    KeyReading keyReading = KeyReading::Bytes;
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

/// Size of the UTF-8 sequence at the start of a text; 0 if there is none.
std::size_t sequenceSize(std::string_view text)
{
    const auto first = static_cast<unsigned char>(text[0]);
    const std::size_t size = first < 0x80 ? 1 : first < 0xC2 ? 0 : first < 0xE0 ? 2 : first < 0xF0 ? 3 : 4;
    if (first > 0xF4 || text.size() < size || text.substr(0, 2) >= "\xF4\x90")
        return 0;
    if (first == 0xED && text.substr(0, 2) >= "\xED\xA0")
        return 0;
    for (const char next : text.substr(1, size == 0 ? 0 : size - 1)) {
        if ((static_cast<unsigned char>(next) & 0xC0) != 0x80)
            return 0;
    }
    return size;
}

/// Key as a store of this kind reads it; nothing if it rejects the key.
std::optional<std::string> readKey(std::string_view key, KeyReading reading)
{
    std::string read;
    while (!key.empty()) {
        const std::size_t size = reading == KeyReading::Bytes ? key.size() : sequenceSize(key);
        if (size == 0 && reading == KeyReading::Rejected)
            return std::nullopt;
        if (size > 0) {
            read += key.substr(0, size);
        } else if (reading == KeyReading::Replaced) {
            read += "\xEF\xBF\xBD";
        } else {
            const auto byte = static_cast<unsigned char>(key[0]);
            read += {'\xED', static_cast<char>(0xB0 | (byte >> 6)), static_cast<char>(0x80 | (byte & 0x3F))};
        }
        key.remove_prefix(std::max<std::size_t>(size, 1));
    }
    return read;
}

void answer(PagedStore &store, Exchange &exchange, const Fiber &fiber)
{
    const auto url = boost::urls::parse_origin_form(exchange.request().target);
    REQUIRE(url);
    const auto params = url->params();
    const auto after = params.find("after");
    const std::string prefix = (*params.find("path_prefix")).value;
    const auto start = after == params.end() || store.repeatsFirstPage
                           ? std::string()
                           : readKey((*after).value, store.keyReading);
    if (!start) {
        exchange.respond(400, "application/json", "{}", {}, fiber);
        return;
    }
    auto item = store.values.upper_bound(*start);
    std::string items = store.oddItems;
    std::size_t size = 0;
    bool more = false;
    for (; item != store.values.end() && !more; ++item) {
        if (!item->first.starts_with(prefix))
            continue;
        more = size++ == store.pageSize;
        if (more)
            break;
        const auto written = store.writtenKeys.find(item->first);
        if (!items.empty())
            items += ',';
        items += "{\"key\":"
                 + (written == store.writtenKeys.end() ? json::serialize(json::string(item->first))
                                                       : written->second)
                 + ",\"value\":\"" + (item->second.empty() ? EncodedValue : item->second)
                 + "\",\"revision\":7}";
    }
    if (store.endsEmpty && store.pages > 0)
        items.clear();
    if (++store.pages == store.restoredAfterPages)
        ++store.era;
    const std::string body =
        "{\"items\":[" + items + "],\"has_more\":" + (more ? "true" : "false") + ",\"at\":9}";
    const std::vector<HttpField> fields{{"Store-Era", std::to_string(store.era)}};
    exchange.respond(200, "application/json", body, fields, fiber);
}

/// Result of a call to the store, and why it failed.
struct ReadResult
{
    std::optional<StoreResponse> response;
    StoreFailure failure = StoreFailure::None;
};

constexpr milliseconds CallTimeout{5000};

/// Calls a server with these responses.
ReadResult
callStore(const HttpServer::Handler &respond,
          const std::function<std::optional<StoreResponse>(StoreClient &client, const Fiber &fiber)> &call)
{
    boost::asio::io_context io;
    const HttpServer server(io, Address, HttpLimits{}, respond);
    ReadResult result;
    startFiber(io, [&](const Fiber &fiber) {
        StoreClient client(Address);
        result.response = call(client, fiber);
        result.failure = client.lastFailure();
        io.stop();
    });
    io.run();
    return result;
}

ReadResult readAll(PagedStore &store)
{
    return callStore(
        [&](Exchange &exchange, const Fiber &fiber) { answer(store, exchange, fiber); },
        [](StoreClient &client, const Fiber &fiber) { return client.readAll(CallTimeout, fiber); });
}

/// Reads a response with this body to a watch.
ReadResult watch(const std::string &body)
{
    return callStore([&](Exchange &exchange,
                         const Fiber &fiber) { exchange.respond(200, "application/json", body, {}, fiber); },
                     [](StoreClient &client, const Fiber &fiber) {
                         return client.watch(1, milliseconds(10), CallTimeout, fiber);
                     });
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

namespace {

/// An odd key as the store writes it in responses.
struct OddKey
{
    /// What the store orders it by.
    std::string key;
    std::string written;
};

const OddKey OddKeys[] = {
    {"servers/i-\x80", R"("servers/i-\udc80")"},
    {"servers/i-\xED", R"("servers/i-\udced")"},
    {"servers/i-\xff", R"("servers/i-\udcff")"},
    {"servers/i-\xff\xfez", R"("servers/i-\udcff\udcfez")"},
    {"servers/i-\xED\xB2\x80", R"("servers/i-\udc80")"},
    {"servers/i-\xED\xB3\xBF", R"("servers/i-\udcff")"},
    {"servers/i-\xED\xA0\xBD", R"("servers/i-\ud83d")"},
    {R"(servers/i-\udcff)", R"("servers/i-\udcff")"},
    {"servers/i-\xff", "\"servers/i-\xEF\xBF\xBD\""},
    {"servers/i-\xff", "\"servers/i-\xC3\xBF\""},
    {"op/\xff", R"("op/\udcff")"},
    {"a\xff", R"("a\udcff")"},
    {"zz\xff", R"("zz\udcff")"},
    {"\xff", R"("\udcff")"},
};

/// Reads all items of a store that has this key among others. With `nonAscii` some of those begin like the
/// odd key, and go on with characters that are not ASCII.
void checkOthersAreRead(const OddKey &odd, KeyReading reading, std::size_t pageSize, bool nonAscii)
{
    CAPTURE(odd.written);
    CAPTURE(static_cast<int>(reading));
    CAPTURE(pageSize);
    PagedStore store;
    store.keyReading = reading;
    store.pageSize = pageSize;
    std::vector<std::string> expected{"op/config",   "servers/a",   "servers/i-",
                                      "servers/i-0", "servers/i-a", "servers/i-\x7f",
                                      "servers/i.",  "servers/i.0", "servers/z"};
    if (nonAscii)
        expected.insert(expected.begin() + 6,
                        {"servers/i-\xC3\xA9", "servers/i-\xEE\x80\x80", "servers/i-\xF0\x9F\x98\x80"});
    for (const std::string &key : expected)
        store.values[key];
    store.values[odd.key] = EncodedValue;
    store.writtenKeys[odd.key] = odd.written;
    const ReadResult result = readAll(store);
    REQUIRE(result.response);
    std::vector<std::string> keys = keysOf(*result.response);
    std::sort(keys.begin(), keys.end());
    keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
    // Some of the odd keys can be read, though not as the store has them.
    CHECK(std::includes(keys.begin(), keys.end(), expected.begin(), expected.end()));
}

} // namespace

// Guards against one key that makes all of its page unreadable.
TEST_CASE("store: the items beside a key that can't be read are read, whatever the store takes it for")
{
    for (const OddKey &odd : OddKeys) {
        for (const KeyReading reading :
             {KeyReading::Bytes, KeyReading::Surrogates, KeyReading::Replaced, KeyReading::Rejected}) {
            for (const std::size_t pageSize : {1, 2, 3, 100})
                checkOthersAreRead(odd, reading, pageSize, false);
        }
    }
}

TEST_CASE("store: the page after a key that can't be read passes over no key that sorts beside it")
{
    for (const OddKey &odd : OddKeys) {
        for (const std::size_t pageSize : {1, 2, 3, 100})
            checkOthersAreRead(odd, KeyReading::Bytes, pageSize, true);
    }
}

TEST_CASE("store: pages that hold only keys that can't be read are passed over")
{
    PagedStore store;
    store.values = {{"op/config", ""}, {"servers/a", ""}, {"servers/z", ""}};
    for (int i = 0; i < 20; ++i) {
        const std::string number = std::to_string(i);
        store.values["servers/i-\xff" + number];
        store.writtenKeys["servers/i-\xff" + number] = R"("servers/i-\udcff)" + number + '"';
    }
    store.pageSize = 3;
    const ReadResult result = readAll(store);
    REQUIRE(result.response);
    CHECK(keysOf(*result.response) == std::vector<std::string>{"op/config", "servers/a", "servers/z"});
    CHECK(result.response->unreadableItems >= 20);
}

TEST_CASE("store: an item that can't be parsed, or has a field of another type, leaves the others")
{
    const std::string deep(4000, '[');
    for (const std::string &item :
         {std::string("17"), std::string("null"), std::string("[]"), std::string("nonsense"),
          deep + std::string(4000, ']'), std::string(R"({"key":5,"revision":3,"value":"e30="})"),
          std::string(R"({"key":"servers/a","revision":0,"value":"e30="})"),
          std::string(R"({"key":"servers/a","revision":9223372036854775808,"value":"e30="})"),
          std::string(R"({"key":"servers/a","revision":1e999,"value":"e30="})"),
          std::string(R"({"key":"servers/a\udcff","revision":7,"value":"e30="})"),
          std::string("{\"key\":\"servers/a\nb\",\"revision\":7,\"value\":\"e30=\"}"),
          std::string(R"({"key":"servers/a\q","revision":7,"value":"e30="})"), R"({"key"})"s}) {
        CAPTURE(item);
        PagedStore store;
        store.oddItems = item;
        store.values = {{"op/config", ""}, {"servers/b", ""}, {"servers/c", ""}};
        const ReadResult read = readAll(store);
        REQUIRE(read.response);
        CHECK(keysOf(*read.response) == std::vector<std::string>{"op/config", "servers/b", "servers/c"});
        CHECK(read.response->unreadableItems >= 1);

        const ReadResult watched =
            watch(R"({"events":[{"key":"servers/b","revision":8,"value":"e30="},)" + item
                  + R"(,{"key":"servers/c","revision":9,"deleted":true}],"at":9})");
        REQUIRE(watched.response);
        CHECK(keysOf(*watched.response) == std::vector<std::string>{"servers/b", "servers/c"});
        CHECK(watched.response->unreadableItems == 1);
        CHECK(watched.response->revision.number == 9);
    }
}

TEST_CASE("store: fields of an item that are of no use may be anything")
{
    const ReadResult result = watch(
        R"({"events":[{"key":"servers/b","revision":8,"value":"e30=","lease":1e999,"writer":"\udcff"}],"at":9,)"
        R"("note":"\udcff"})");
    REQUIRE(result.response);
    REQUIRE(result.response->items.size() == 1);
    CHECK(result.response->items[0].value == "{}");
}

TEST_CASE("store: a response that breaks off, or lacks its list or revision, is no answer")
{
    for (const char *body :
         {"", "{", R"({"events":[],"at":)", R"({"events":[{"key":"servers/b","revision":8})", R"({"at":9})",
          R"({"events":[]})", R"({"events":{},"at":9})", R"({"events":[],"at":"x"})",
          R"([{"events":[],"at":9}])"}) {
        CAPTURE(body);
        const ReadResult result = watch(body);
        CHECK_FALSE(result.response);
        CHECK(result.failure == StoreFailure::Malformed);
    }
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
