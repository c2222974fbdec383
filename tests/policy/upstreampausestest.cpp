#include "chestnutsill/policy/upstreampauses.h"

#include <doctest/doctest.h>

using namespace chestnutsill;

TEST_CASE("pauses: an upstream is paused until the latest time that its process has stated")
{
    UpstreamPauses pauses;
    CHECK_FALSE(pauses.pausedUntil("u1", 100, seconds(1)));
    CHECK(pauses.record("u1", 100, seconds(5), seconds(1)) == seconds(6));
    CHECK(pauses.record("u1", 100, seconds(1), seconds(2)) == seconds(6));
    CHECK(pauses.pausedUntil("u1", 100, seconds(6) - microseconds(1)) == seconds(6));
    CHECK_FALSE(pauses.pausedUntil("u1", 100, seconds(6)));
    CHECK_FALSE(pauses.pausedUntil("u2", 100, seconds(2)));
}

TEST_CASE("pauses: another process of the upstream is not paused")
{
    UpstreamPauses pauses;
    pauses.record("u1", 100, seconds(5), seconds(1));
    CHECK_FALSE(pauses.pausedUntil("u1", 200, seconds(2)));
    CHECK(pauses.record("u1", 200, seconds(1), seconds(2)) == seconds(3));
}

TEST_CASE("pauses: the length of a pause is bounded, and what has ended is dropped")
{
    UpstreamPauses pauses;
    CHECK(pauses.record("u1", 100, std::chrono::hours(1000), seconds(1))
          == seconds(1) + UpstreamPauses::MaxPause);
    CHECK(pauses.record("u2", 100, milliseconds(-5), seconds(1)) == seconds(1));
    pauses.expire(seconds(1));
    CHECK(pauses.size() == 1);
    pauses.expire(seconds(1) + UpstreamPauses::MaxPause);
    CHECK(pauses.size() == 0);
}
