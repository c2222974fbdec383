#include "site.h"

#include <doctest/doctest.h>

#include <chrono>
#include <future>
#include <string>
#include <thread>

using namespace chestnutsill;
using support::callTo;
using support::Site;
using support::waitUntil;

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds Pause{2000};
constexpr const char *RefusesForTwoSeconds = R"({"mode":"shed","retryAfter":"2.0"})";
constexpr const char *AcceptsRequests = R"({"mode":"ok"})";

std::int64_t count(const Site::Upstream &upstream, const std::string &name)
{
    return Site::stat(upstream, name).as_int64();
}

/// Sends requests to an instance until an upstream has refused one. Returns when that was, at the latest.
Clock::time_point untilRefused(Site &site, const Site::Upstream &upstream)
{
    CHECK(waitUntil([&] {
        (void)site.call(0, callTo("/plain/x", ""));
        return count(upstream, "refused") > 0;
    }));
    return Clock::now();
}

} // namespace

TEST_CASE(
    "pause: an upstream that states Retry-After in a refusal gets no request before it has passed, and some "
    "afterwards")
{
    Site site("pause");
    Site::Upstream &paused = site.addUpstream("paused", "desk");
    site.addUpstream("other", "desk");
    site.start(1);
    REQUIRE(site.waitReady());
    Site::commandUpstream(paused, RefusesForTwoSeconds);
    // Some time passes between the refusal and the moment from which the test measures.
    const auto end = untilRefused(site, paused) + Pause - milliseconds(500);
    Site::commandUpstream(paused, AcceptsRequests);
    int served = 0;
    int sent = 0;
    while (Clock::now() < end) {
        const auto answer = site.call(0, callTo("/plain/x", ""));
        ++sent;
        served += answer && answer->head.status == 200 ? 1 : 0;
    }
    CHECK(served == sent);
    CHECK(count(paused, "refused") == 1);
    CHECK(count(paused, "started") == 0);
    CHECK(waitUntil([&] {
        (void)site.call(0, callTo("/plain/x", ""));
        return count(paused, "started") > 0;
    }));
}

TEST_CASE(
    "pause: while no other upstream is there, callers are refused as not run with the time that is left")
{
    Site site("pause-all");
    Site::Upstream &paused = site.addUpstream("paused", "desk");
    site.start(1);
    REQUIRE(site.waitReady());
    Site::commandUpstream(paused, RefusesForTwoSeconds);
    const auto end = untilRefused(site, paused) + Pause;
    Site::commandUpstream(paused, AcceptsRequests);
    const auto answer = site.call(0, callTo("/booking/x", "turned-away"));
    REQUIRE(answer);
    CHECK(answer->head.status == 503);
    const double seconds = std::stod(std::string(answer->head.field("Retry-After")));
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    const auto again = site.call(0, callTo("/booking/x", "again"));
    REQUIRE(again);
    CHECK(again->head.status == 200);
    CHECK(Clock::now() >= end - milliseconds(500));
    CHECK(site.runsOf("turned-away") == 0);
}

TEST_CASE("pause: a silent upstream gets no health check before the time that it stated has passed")
{
    Site site("pause-health");
    Site::Upstream &paused = site.addUpstream("paused", "desk");
    site.start(1);
    REQUIRE(site.waitReady());
    Site::commandUpstream(paused, R"({"mode":"mute"})");
    auto mute = std::async(std::launch::async, [&] { return site.call(0, callTo("/booking/x", "mute")); });
    REQUIRE(waitUntil([&] { return count(paused, "started") > 0; }));
    Site::commandUpstream(paused, RefusesForTwoSeconds);
    const auto end = untilRefused(site, paused) + Pause - milliseconds(500);
    std::this_thread::sleep_until(end);
    CHECK(count(paused, "healthChecks") == 0);
    (void)mute.get();
}

TEST_CASE("pause: a Retry-After that is no number of seconds, or negative, pauses nothing")
{
    Site site("pause-malformed");
    Site::Upstream &refusing = site.addUpstream("refusing", "desk");
    site.start(1);
    REQUIRE(site.waitReady());
    std::int64_t refused = 0;
    for (const std::string value : {"soon", "-3", "nan", "Wed, 21 Oct 2026 07:28:00 GMT", "1e3"}) {
        CAPTURE(value);
        Site::commandUpstream(refusing, R"({"mode":"shed","retryAfter":")" + value + "\"}");
        (void)site.call(0, callTo("/booking/x", ""));
        CHECK(count(refusing, "refused") > refused);
        refused = count(refusing, "refused");
    }
}
