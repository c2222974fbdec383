#include "daemon/peerfeed.h"

#include "chestnutsill/net/httpserver.h"

#include <doctest/doctest.h>

#include <optional>

using namespace chestnutsill;

namespace {

constexpr const char *Address = "127.0.0.1:28731";

/// How often a feed server looks for changes while it serves one call that finds none: a second time once it
/// has waited.
int looksForOneCall(milliseconds confirmedAge)
{
    boost::asio::io_context io;
    int looks = 0;
    FeedServer feed([&](std::uint64_t after) {
        ++looks;
        return std::optional(FeedAnswer{{}, after, confirmedAge, {}});
    });
    HttpServer server(io, Address, HttpLimits{},
                      [&](Exchange &exchange, const Fiber &fiber) { feed.serve(exchange, fiber); });
    std::optional<FeedAnswer> answer;
    startFiber(io, [&](const Fiber &fiber) {
        FeedClient client;
        answer = client.follow(Address, 5, milliseconds(20), milliseconds(5000), fiber);
        io.stop();
    });
    io.run();
    REQUIRE(answer);
    CHECK(answer->revision == 5);
    CHECK(answer->confirmedAge == confirmedAge);
    return looks;
}

} // namespace

TEST_CASE("peer feed: a call without changes waits, unless what the peer knows is too old to be followed")
{
    CHECK(looksForOneCall(milliseconds(100)) == 2);
    CHECK(looksForOneCall(OldestFeed) == 2);
    CHECK(looksForOneCall(OldestFeed + milliseconds(1)) == 1);
}
