#include "chestnutsill/policy/routing.h"

#include <doctest/doctest.h>

using namespace chestnutsill;

namespace {

Route route(std::string host, std::string prefix)
{
    Route made;
    made.name = host + prefix;
    made.host = std::move(host);
    made.pathPrefix = std::move(prefix);
    made.services = {{"chat", 1}};
    return made;
}

} // namespace

TEST_CASE("routing: the longest matching path prefix of the host is selected")
{
    RoutingTable table;
    table.routes = {route("a.example", "/x/"), route("a.example", "/x/y/"), route("b.example", "/")};
    CHECK(findRoute(table, "a.example", "/x/y/z")->pathPrefix == "/x/y/");
    CHECK(findRoute(table, "A.Example:8080", "/x/z?q=/x/y/")->pathPrefix == "/x/");
    CHECK(findRoute(table, "a.example", "/x") == nullptr);
    CHECK(findRoute(table, "c.example", "/x/") == nullptr);
}

TEST_CASE("routing: services are selected by weight, and the same seed selects the same service")
{
    Route split = route("a.example", "/");
    split.services = {{"old", 90}, {"new", 10}};
    int newCount = 0;
    for (std::uint64_t seed = 0; seed < 1000; ++seed) {
        CHECK(selectService(split, seed) == selectService(split, seed));
        newCount += selectService(split, seed) == "new" ? 1 : 0;
    }
    CHECK(newCount == 100);
    split.services.clear();
    CHECK(selectService(split, 7).empty());
}

TEST_CASE("routing: engine rank orders by the tier of the account, then by the tier of the route")
{
    RoutingTable table;
    table.routes = {route("a.example", "/x/"), route("a.example", "/y/")};
    table.routes[0].tier = 0;
    table.routes[1].tier = 2;
    const ClientAccount first{"first", 0};
    const ClientAccount usual{"usual", 1};
    const ClientAccount last{"last", 40};
    CHECK(engineRank(table, table.routes[0], &usual) < engineRank(table, table.routes[1], &usual));
    CHECK(engineRank(table, table.routes[1], &first) < engineRank(table, table.routes[0], &usual));
    CHECK(engineRank(table, table.routes[1], nullptr) == engineRank(table, table.routes[1], &usual));
    CHECK(engineRank(table, table.routes[1], &last) == 9);
}

TEST_CASE("routing: an API key identifies its account")
{
    RoutingTable table;
    table.accounts = {{"kiosks", 1}, {"members", std::nullopt}};
    table.accountByKey = {{"k1", 0}, {"k2", 1}};
    CHECK(findAccount(table, "k2")->name == "members");
    CHECK(findAccount(table, "k3") == nullptr);
}
