#include "daemon/peerfeed.h"

#include "chestnutsill/net/httpserver.h"

#include <doctest/doctest.h>

#include <optional>

using namespace chestnutsill;

namespace {

constexpr const char *Address = "127.0.0.1:28731";

/// Returns how often a feed server reads the changes to answer one poll that finds none: once, and a second
/// time if it waited.
int readsForOnePoll(milliseconds confirmedAge, bool acceptsStale = false)
{
    boost::asio::io_context io;
    int reads = 0;
    FeedServer feed([&](StoreRevision after) {
        ++reads;
        return std::optional(FeedAnswer{{}, after, confirmedAge, {}, false});
    });
    HttpServer server(io, Address, HttpLimits{},
                      [&](Exchange &exchange, const Fiber &fiber) { feed.serve(exchange, fiber); });
    std::optional<FeedAnswer> answer;
    startFiber(io, [&](const Fiber &fiber) {
        FeedClient client;
        answer = client.follow({Address, acceptsStale}, {2, 5}, milliseconds(20), milliseconds(5000), fiber);
        io.stop();
    });
    io.run();
    REQUIRE(answer);
    CHECK(answer->revision == StoreRevision{2, 5});
    CHECK(answer->confirmedAge == confirmedAge);
    return reads;
}

} // namespace

TEST_CASE("peer feed: a poll without changes waits, unless the confirmation is stale and the "
          "follower does not accept that")
{
    CHECK(readsForOnePoll(milliseconds(100)) == 2);
    CHECK(readsForOnePoll(MaxFeedAge) == 2);
    CHECK(readsForOnePoll(MaxFeedAge + milliseconds(1)) == 1);
    CHECK(readsForOnePoll(MaxFeedAge + milliseconds(1), true) == 2);
}

TEST_CASE("peer feed: a poll of a peer that has not read all items yet waits for its snapshot")
{
    boost::asio::io_context io;
    std::optional<FeedAnswer> available;
    FeedServer feed([&](StoreRevision) { return available; });
    HttpServer server(io, Address, HttpLimits{},
                      [&](Exchange &exchange, const Fiber &fiber) { feed.serve(exchange, fiber); });
    std::optional<FeedAnswer> answer;
    startFiber(io, [&](const Fiber &fiber) {
        FeedClient client;
        answer = client.follow({Address}, {}, milliseconds(4000), milliseconds(5000), fiber);
        io.stop();
    });
    startFiber(io, [&](const Fiber &fiber) {
        sleepFor(milliseconds(20), fiber);
        available = FeedAnswer{{{std::string("k\0y", 3), std::string("v\0lue", 5), 7, false}},
                               {2, 9},
                               milliseconds(10),
                               {},
                               true};
        feed.wake();
    });
    io.run();
    REQUIRE(answer);
    CHECK(answer->isSnapshot);
    CHECK(answer->revision == StoreRevision{2, 9});
    REQUIRE(answer->items.size() == 1);
    CHECK(answer->items[0].key == std::string("k\0y", 3));
    CHECK(answer->items[0].value == std::string("v\0lue", 5));
}
