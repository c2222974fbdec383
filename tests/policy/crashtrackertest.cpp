#include "chestnutsill/policy/crashtracker.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>

using namespace chestnutsill;

namespace {

constexpr std::uint64_t CrashingRequest = 666;
constexpr std::uint64_t HarmlessRequest = 7;

/// Runs both requests at an upstream that crashes. Their connections break one after the other.
void crash(CrashTracker &tracker, const std::string &upstream, Instant now)
{
    tracker.recordStart(upstream, CrashingRequest);
    tracker.recordStart(upstream, HarmlessRequest);
    tracker.recordEnd(upstream, CrashingRequest, true, now);
    tracker.recordEnd(upstream, HarmlessRequest, true, now + milliseconds(50));
    CHECK(tracker.recordCrash(upstream, "1", now + milliseconds(100)) == 2);
}

int crashesOf(const CrashTracker &tracker, std::uint64_t request)
{
    return tracker.parts().crashCount(request);
}

bool isRefused(const CrashTracker &tracker, std::uint64_t request, Instant now)
{
    return tracker
        .refusedUntil(
            {}, request, [](std::uint64_t) { return false; }, now)
        .has_value();
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
        (void)one.mergeNotice(notice, seconds(13), false);
    for (const CrashNotice &notice : one.takeNotices())
        (void)two.mergeNotice(notice, seconds(13), false);
    for (const CrashTracker *tracker : {&one, &two}) {
        CHECK(crashesOf(*tracker, CrashingRequest) == CrashingParts::MaxStrikes);
        CHECK(isRefused(*tracker, CrashingRequest, seconds(13)));
    }
}

TEST_CASE("crash tracker: a crash counts once, however often it is reported")
{
    CrashTracker one;
    crash(one, "u1", seconds(10));
    CrashTracker two;
    for (int i = 0; i < CrashTracker::TransmitCount; ++i) {
        const auto notices = one.takeNotices();
        REQUIRE(notices.size() == 1);
        (void)two.mergeNotice(notices[0], seconds(11), false);
    }
    CHECK(one.takeNotices().empty());
    CHECK(crashesOf(two, CrashingRequest) == 1);
}

TEST_CASE("crash tracker: a request that completes is cleared everywhere")
{
    CrashTracker one;
    crash(one, "u1", seconds(10));
    CHECK(one.recordCompletion(HarmlessRequest, seconds(11)));
    CHECK_FALSE(one.recordCompletion(HarmlessRequest, seconds(11)));
    CHECK(crashesOf(one, HarmlessRequest) == 0);
    CHECK(crashesOf(one, CrashingRequest) == 1);
    CHECK(one.takeCleared() == std::vector<std::uint64_t>{HarmlessRequest});
}

TEST_CASE("crash tracker: a connection that broke long before the crash gets no strike")
{
    CrashTracker tracker;
    tracker.recordStart("u1", HarmlessRequest);
    tracker.recordEnd("u1", HarmlessRequest, true, seconds(10));
    CHECK(tracker.recordCrash("u1", "1", seconds(10) + CrashTracker::AttributionWindow + milliseconds(1))
          == 0);
    CHECK(crashesOf(tracker, HarmlessRequest) == 0);
}

TEST_CASE("crash tracker: a request whose connection lives on is not blamed for a refused connection")
{
    CrashTracker tracker;
    tracker.recordStart("u1", HarmlessRequest);
    CHECK(tracker.recordCrash("u1", "1", seconds(10)) == 0);
    CHECK(crashesOf(tracker, HarmlessRequest) == 0);
}

TEST_CASE("crash tracker: a hub relays all requests that several instances had running at one crash")
{
    CrashTracker first;
    CrashTracker second;
    first.recordStart("u1", HarmlessRequest);
    first.recordEnd("u1", HarmlessRequest, true, seconds(10));
    CHECK(first.recordCrash("u1", "1", seconds(10)) == 1);
    second.recordStart("u1", CrashingRequest);
    second.recordEnd("u1", CrashingRequest, true, seconds(10));
    CHECK(second.recordCrash("u1", "1", seconds(10)) == 1);
    CrashTracker hub;
    (void)hub.mergeNotice(first.takeNotices().at(0), seconds(10), true);
    (void)hub.mergeNotice(second.takeNotices().at(0), seconds(10), true);
    CrashTracker member;
    for (const CrashNotice &notice : hub.takeNotices())
        (void)member.mergeNotice(notice, seconds(11), false);
    CHECK(crashesOf(member, CrashingRequest) == 1);
}

TEST_CASE("crash tracker: a heartbeat carries a bounded number of notices, and the others follow")
{
    constexpr std::size_t Crashes = 2 * CrashTracker::MaxNoticesPerHeartbeat + 1;
    CrashTracker tracker;
    for (std::size_t i = 0; i < Crashes; ++i) {
        const std::string upstream = "u" + std::to_string(i);
        tracker.recordStart(upstream, CrashingRequest);
        const Instant time = seconds(10 + static_cast<int>(i));
        tracker.recordEnd(upstream, CrashingRequest, true, time);
        CHECK(tracker.recordCrash(upstream, "1", time) == 1);
    }
    std::set<std::uint64_t> told;
    for (int heartbeat = 0; heartbeat < 3; ++heartbeat) {
        const auto notices = tracker.takeNotices();
        CHECK(notices.size() <= CrashTracker::MaxNoticesPerHeartbeat);
        for (const CrashNotice &notice : notices)
            told.insert(notice.incarnation);
    }
    CHECK(told.size() == Crashes);
}

TEST_CASE("crash tracker: an instance that loses many upstreams at once blames few requests for it")
{
    CrashTracker tracker;
    std::size_t blamed = 0;
    for (int i = 0; i < 20; ++i) {
        const std::string upstream = "u" + std::to_string(i);
        tracker.recordStart(upstream, HarmlessRequest);
        tracker.recordEnd(upstream, HarmlessRequest, true, seconds(10));
        blamed += tracker.recordCrash(upstream, "1", Instant(seconds(10)) + milliseconds(10 * i));
    }
    CHECK(blamed == CrashTracker::MaxCrashesAtOnce);
    CHECK(tracker.takeNotices().size() == CrashTracker::MaxCrashesAtOnce);
}

TEST_CASE("crash tracker: crashes that a cut-off instance reports are disproved by one that is answered")
{
    CrashTracker cutOff;
    CrashTracker connected;
    for (const char *upstream : {"u1", "u2", "u3"}) {
        cutOff.recordStart(upstream, HarmlessRequest);
        cutOff.recordEnd(upstream, HarmlessRequest, true, seconds(10));
        CHECK(cutOff.recordCrash(upstream, "1", seconds(10)) == 1);
    }
    for (const CrashNotice &notice : cutOff.takeNotices())
        (void)connected.mergeNotice(notice, seconds(10), false);
    CHECK(isRefused(connected, HarmlessRequest, seconds(10)));
    // An answer to a request that was sent before proves nothing, nor does a connection opened since.
    const std::uint64_t incarnation = incarnationKeyOf("u1", "1");
    CHECK_FALSE(connected.recordAnswer(incarnation, seconds(1), seconds(10), seconds(11)));
    CHECK_FALSE(connected.recordAnswer(incarnation, seconds(10), seconds(11), seconds(11)));
    CHECK(connected.recordAnswer(incarnation, seconds(1), seconds(11), seconds(11)));
    CHECK_FALSE(isRefused(connected, HarmlessRequest, seconds(11)));
    for (const CrashDisproof &disproof : connected.takeDisproofs())
        cutOff.mergeDisproof(disproof, seconds(11), false);
    CHECK_FALSE(isRefused(cutOff, HarmlessRequest, seconds(11)));
    // Reports that were sent before the disproof may arrive after it.
    for (const CrashNotice &notice : cutOff.takeNotices())
        (void)connected.mergeNotice(notice, seconds(12), false);
    CHECK(crashesOf(connected, HarmlessRequest) == 2);
}

TEST_CASE("crash tracker: crashes count from when they happened, whatever was reported of the same processes "
          "before")
{
    CrashTracker tracker;
    const auto report = [&](const std::string &upstream, std::uint64_t request, Instant at) {
        (void)tracker.mergeNotice({incarnationKeyOf(upstream, "1"), {request}, {{request + 1, 0}}, at}, at,
                                  false);
    };
    for (const char *upstream : {"u1", "u2", "u3"})
        report(upstream, HarmlessRequest, seconds(10));
    report("u1", CrashingRequest, seconds(20));
    report("u2", CrashingRequest, seconds(21));
    report("u3", CrashingRequest, seconds(22));
    CHECK(tracker.parts().bannedUntil(CrashingRequest, seconds(22))
          == Instant(seconds(22)) + CrashingParts::FirstBan);
}

TEST_CASE("crash tracker: a hub relays each notice once")
{
    CrashTracker reporter;
    crash(reporter, "u1", seconds(10));
    CrashTracker hub;
    const auto notices = reporter.takeNotices();
    (void)hub.mergeNotice(notices.at(0), seconds(11), true);
    (void)hub.mergeNotice(notices.at(0), seconds(11), true);
    CHECK(hub.takeNotices().size() == 1);
    hub.mergeCleared(HarmlessRequest, seconds(11), true);
    hub.mergeCleared(HarmlessRequest, seconds(11), true);
    CHECK(hub.takeCleared().size() == 1);
}

// Guards against parts that are left out of a report because other requests have filled it.
TEST_CASE("crash tracker: a report names the most suspect part of each of many long requests")
{
    constexpr std::uint64_t CrashingPart = 5000;
    constexpr std::uint64_t Requests = 60;
    CrashTracker tracker;
    std::vector<std::uint64_t> common;
    for (std::uint64_t part = 1; part <= 200; ++part)
        common.push_back(part);
    tracker.recordPartsServed(common, seconds(1));
    for (std::uint64_t i = 0; i < Requests; ++i) {
        std::vector<std::uint64_t> parts = common;
        parts.push_back(i + 1 == Requests ? CrashingPart : 1000 + i);
        tracker.recordStart("u1", i, parts);
        tracker.recordEnd("u1", i, true, seconds(2));
    }
    CHECK(tracker.recordCrash("u1", "1", seconds(2)) == Requests);
    const std::vector<CrashNotice> notices = tracker.takeNotices();
    REQUIRE(notices.size() == 1);
    CHECK(notices[0].parts.size() <= CrashTracker::MaxPartsPerNotice);
    CHECK(std::any_of(notices[0].parts.begin(), notices[0].parts.end(),
                      [](const SuspectPart &suspect) { return suspect.part == CrashingPart; }));
}
