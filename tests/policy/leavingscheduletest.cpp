#include "chestnutsill/policy/leavingschedule.h"
#include "chestnutsill/policy/routedurations.h"
#include "chestnutsill/policy/silencedetector.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

using namespace chestnutsill;

namespace {

constexpr milliseconds AddressUse{3000};
constexpr Instant Start{seconds(100)};
/// The platform excuses a long request that is cut only if it was sent within this time of the signal.
constexpr milliseconds ExcusedTime{3000};
const std::vector<milliseconds> GraceTimes{milliseconds(2000), milliseconds(8000), milliseconds(30'000),
                                           milliseconds(300'000)};

} // namespace

TEST_CASE("leaving schedule: the process ends before the kill, and its requests in the last sixth of the "
          "grace time")
{
    for (const milliseconds grace : GraceTimes) {
        CAPTURE(grace.count());
        const LeavingSchedule schedule = leavingSchedule(Start, grace, AddressUse);
        CHECK(schedule.requestsEnd >= Start + grace * 5 / 6);
        CHECK(schedule.requestsEnd < schedule.processEnds);
        CHECK(schedule.processEnds < Start + grace);
        CHECK(schedule.addressesExpire == Start + AddressUse);
    }
}

TEST_CASE(
    "leaving schedule: a request that can outlast the process is not accepted once addresses have expired")
{
    rc::check([] {
        const milliseconds grace = GraceTimes[*rc::gen::inRange<std::size_t>(0, GraceTimes.size())];
        const LeavingSchedule schedule = leavingSchedule(Start, grace, AddressUse);
        const auto ms = [](int from, int to) { return milliseconds(*rc::gen::inRange(from, to)); };
        const Instant time = Start + ms(0, 310'000);
        const Instant deadline = time + ms(1, 400'000);
        const bool isKnown = *rc::gen::arbitrary<bool>();
        const std::optional<Instant> usual = isKnown ? std::optional<Instant>(ms(1, 60'000)) : std::nullopt;
        const bool othersServe = *rc::gen::arbitrary<bool>();
        const bool accepted = mayAccept(schedule, {deadline, usual, othersServe}, time);
        const bool mayOutlast = deadline > schedule.requestsEnd;
        if (mayOutlast && time >= Start + ExcusedTime)
            RC_ASSERT(!accepted);
        const Instant expected = usual.value_or((deadline - time) / 2);
        if (mayOutlast && time + expected > schedule.requestsEnd)
            RC_ASSERT(!accepted);
        if (!mayOutlast && time < schedule.requestsEnd)
            RC_ASSERT(accepted);
    });
}

TEST_CASE(
    "leaving schedule: an early request that usually ends in time is accepted in spite of a late deadline")
{
    const LeavingSchedule schedule = leavingSchedule(Start, milliseconds(8000), AddressUse);
    const auto mayAcceptAt = [&](milliseconds time, std::optional<Instant> usual) {
        return mayAccept(schedule, {Start + seconds(30), usual, true}, Start + time);
    };
    CHECK(mayAcceptAt(milliseconds(100), seconds(5)));
    CHECK(mayAcceptAt(milliseconds(2900), seconds(3)));
    CHECK_FALSE(mayAcceptAt(milliseconds(2900), seconds(5)));
    CHECK_FALSE(mayAcceptAt(milliseconds(3000), seconds(1)));
    CHECK_FALSE(mayAcceptAt(milliseconds(100), std::nullopt));
}

TEST_CASE("leaving schedule: an early request of unknown duration is accepted with half of its time left")
{
    const LeavingSchedule schedule = leavingSchedule(Start, milliseconds(8000), AddressUse);
    for (const bool othersServe : {false, true}) {
        const auto mayAcceptAt = [&](milliseconds time, milliseconds left) {
            return mayAccept(schedule, {Start + time + left, std::nullopt, othersServe}, Start + time);
        };
        CHECK(mayAcceptAt(milliseconds(1000), milliseconds(8000)));
        CHECK_FALSE(mayAcceptAt(milliseconds(1000), milliseconds(20'000)));
        CHECK_FALSE(mayAcceptAt(milliseconds(3000), milliseconds(8000)));
    }
}

TEST_CASE("leaving schedule: while another instance serves, a request must bear a silence of its upstream")
{
    const LeavingSchedule schedule = leavingSchedule(Start, milliseconds(8000), AddressUse);
    const auto mayAcceptAt = [&](milliseconds time, bool othersServe) {
        return mayAccept(schedule, {Start + seconds(30), seconds(4), othersServe}, Start + time);
    };
    const milliseconds latest = milliseconds(3700) - SilenceDetector::ToleratedSilence;
    CHECK(mayAcceptAt(latest, true));
    CHECK_FALSE(mayAcceptAt(latest + milliseconds(1), true));
    CHECK(mayAcceptAt(latest + milliseconds(1), false));
}

TEST_CASE("route durations: the longest of the latest requests counts, once enough are known")
{
    RouteDurations durations;
    for (std::size_t i = 1; i < RouteDurations::MinSamples; ++i)
        durations.record("chat", milliseconds(100));
    CHECK_FALSE(durations.longest("chat"));
    durations.record("chat", milliseconds(900));
    CHECK(durations.longest("chat") == milliseconds(900));
    CHECK_FALSE(durations.longest("other"));
    for (std::size_t i = 0; i < RouteDurations::Remembered; ++i)
        durations.record("chat", milliseconds(200));
    CHECK(durations.longest("chat") == milliseconds(200));
}
