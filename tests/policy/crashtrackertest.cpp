#include "chestnutsill/policy/crashtracker.h"

#include <doctest/doctest.h>

using namespace chestnutsill;

namespace {

constexpr std::uint64_t CrashingRequest = 666;
constexpr std::uint64_t HarmlessRequest = 7;

/// Runs both requests at an upstream that crashes.
void crash(CrashTracker &tracker, const std::string &upstream, Instant now)
{
    tracker.recordStart(upstream, CrashingRequest);
    tracker.recordStart(upstream, HarmlessRequest);
    tracker.recordEnd(upstream, CrashingRequest, true, now);
    CHECK(tracker.recordCrash(upstream, "1", now + milliseconds(100)) == 2);
    tracker.recordEnd(upstream, HarmlessRequest, true, now + milliseconds(200));
}

} // namespace

TEST_CASE("crash tracker: a request is stopped after three crashes, whichever instances saw them")
{
    CrashTracker one;
    CrashTracker two;
    crash(one, "u1", seconds(10));
    crash(one, "u2", seconds(11));
    crash(two, "u3", seconds(12));
    for (const CrashNotice &notice : two.takeNotices())
        one.mergeNotice(notice, seconds(13), false);
    for (const CrashNotice &notice : one.takeNotices())
        two.mergeNotice(notice, seconds(13), false);
    CHECK(one.strikes(CrashingRequest, seconds(13)) == CrashTracker::MaxStrikes);
    CHECK(two.strikes(CrashingRequest, seconds(13)) == CrashTracker::MaxStrikes);
}

TEST_CASE("crash tracker: a crash counts once, however often it is reported")
{
    CrashTracker one;
    crash(one, "u1", seconds(10));
    CrashTracker two;
    for (int i = 0; i < CrashTracker::TransmitCount; ++i) {
        const auto notices = one.takeNotices();
        REQUIRE(notices.size() == 1);
        two.mergeNotice(notices[0], seconds(11), false);
    }
    CHECK(one.takeNotices().empty());
    CHECK(two.strikes(CrashingRequest, seconds(11)) == 1);
}

TEST_CASE("crash tracker: a request that completes is cleared everywhere")
{
    CrashTracker one;
    crash(one, "u1", seconds(10));
    CHECK(one.recordCompletion(HarmlessRequest));
    CHECK_FALSE(one.recordCompletion(HarmlessRequest));
    CHECK(one.strikes(HarmlessRequest, seconds(11)) == 0);
    CHECK(one.strikes(CrashingRequest, seconds(11)) == 1);
    CHECK(one.takeCleared() == std::vector<std::uint64_t>{HarmlessRequest});
}

TEST_CASE("crash tracker: a connection that broke long before the crash gets no strike")
{
    CrashTracker tracker;
    tracker.recordStart("u1", HarmlessRequest);
    tracker.recordEnd("u1", HarmlessRequest, true, seconds(10));
    CHECK(tracker.recordCrash("u1", "1", seconds(10) + CrashTracker::AttributionWindow + milliseconds(1))
          == 0);
    CHECK(tracker.strikes(HarmlessRequest, seconds(12)) == 0);
}

TEST_CASE("crash tracker: a hub relays each notice once")
{
    CrashTracker reporter;
    crash(reporter, "u1", seconds(10));
    CrashTracker hub;
    const auto notices = reporter.takeNotices();
    hub.mergeNotice(notices.at(0), seconds(11), true);
    hub.mergeNotice(notices.at(0), seconds(11), true);
    CHECK(hub.takeNotices().size() == 1);
    hub.mergeCleared(HarmlessRequest, true);
    hub.mergeCleared(HarmlessRequest, true);
    CHECK(hub.takeCleared().size() == 1);
}
