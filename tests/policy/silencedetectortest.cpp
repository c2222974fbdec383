#include "chestnutsill/policy/silencedetector.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace chestnutsill;

namespace {

constexpr std::string_view Id = "engine-1";

/// Calls `detect` in its period from one instant to another and returns whether the upstream was suspected.
bool watch(SilenceDetector &detector, Instant from, Instant to)
{
    bool suspected = false;
    for (Instant time = from; time <= to; time += SilenceDetector::CheckPeriod) {
        (void)detector.detect(time);
        suspected = suspected || detector.isSuspected(Id);
    }
    return suspected;
}

/// A stream that has begun and sends an event in each `period`, watched meanwhile; returns when it ended.
Instant streamEvents(SilenceDetector &detector, Instant from, milliseconds period, int events)
{
    detector.recordSend(Id, Instant{}, from);
    detector.recordBytes(Id, from);
    detector.recordFirstBytes(Id);
    Instant time = from;
    for (int i = 0; i < events; ++i) {
        watch(detector, time + SilenceDetector::CheckPeriod, time + period);
        time += period;
        detector.recordBytes(Id, time);
    }
    return time;
}

} // namespace

TEST_CASE("silence: an upstream that stops in the middle of a stream is suspected soon, and once")
{
    SilenceDetector detector;
    const Instant last = streamEvents(detector, seconds(1), milliseconds(60), 20);
    CHECK_FALSE(detector.isSuspected(Id));
    (void)detector.detect(last + milliseconds(100));
    CHECK_FALSE(detector.isSuspected(Id));
    CHECK(detector.detect(last + milliseconds(200)) == std::vector<std::string>{std::string(Id)});
    CHECK(detector.detect(last + milliseconds(250)).empty());
    CHECK(detector.silence(Id, last + milliseconds(250)) == milliseconds(250));
}

TEST_CASE("silence: a prompt that is prefilled for long raises no suspicion before its first byte is late")
{
    SilenceDetector detector;
    detector.recordSend(Id, milliseconds(400), seconds(1));
    CHECK_FALSE(watch(detector, seconds(1), seconds(1) + milliseconds(800)));
    CHECK(watch(detector, seconds(1) + milliseconds(800), seconds(1) + milliseconds(900)));
}

TEST_CASE("silence: requests that are sent into a silence don't excuse it")
{
    SilenceDetector detector;
    detector.recordSend(Id, milliseconds(100), seconds(1));
    bool suspected = false;
    for (Instant time = seconds(1); time <= seconds(2); time += milliseconds(100)) {
        suspected = watch(detector, time, time + milliseconds(50)) || suspected;
        detector.recordSend(Id, milliseconds(400), time + milliseconds(50));
    }
    CHECK(suspected);
}

TEST_CASE("silence: callers that give up don't end a suspicion, and any byte does")
{
    SilenceDetector detector;
    detector.recordSend(Id, Instant{}, seconds(1));
    REQUIRE(watch(detector, seconds(1), seconds(1) + milliseconds(300)));
    detector.recordEnd(Id, false);
    CHECK(detector.isSuspected(Id));
    detector.recordUnanswered(Id);
    CHECK(detector.isSilent(Id));
    CHECK(detector.silentUpstreams() == std::vector<std::string_view>{Id});
    detector.recordBytes(Id, seconds(2));
    CHECK_FALSE(detector.isSuspected(Id));
    CHECK_FALSE(detector.isSilent(Id));
    CHECK(detector.silentUpstreams().empty());
}

TEST_CASE("silence: pauses that are usual for an upstream raise no suspicion")
{
    rc::check("an upstream whose pauses grow by less than a half each time is not suspected", [] {
        SilenceDetector detector;
        Instant time = seconds(1);
        detector.recordSend(Id, Instant{}, time);
        detector.recordBytes(Id, time);
        detector.recordFirstBytes(Id);
        milliseconds pause(100);
        for (int i = 0; i < 40; ++i) {
            pause = std::clamp(pause * *rc::gen::inRange(70, 150) / 100, milliseconds(10), milliseconds(900));
            for (milliseconds part(0); part < pause; part += SilenceDetector::CheckPeriod)
                (void)detector.detect(time + part);
            RC_ASSERT(!detector.isSuspected(Id));
            time += pause;
            detector.recordBytes(Id, time);
        }
    });
}

TEST_CASE("silence: time in which this process did not run is not the upstream's silence")
{
    SilenceDetector detector;
    const Instant last = streamEvents(detector, seconds(1), milliseconds(60), 5);
    CHECK(detector.detect(last + seconds(3)).empty());
    CHECK_FALSE(detector.isSuspected(Id));
}

TEST_CASE("silence: a peer's report is verified, and ignored for a while after it has proved wrong")
{
    SilenceDetector detector;
    detector.recordPeerReport(Id, seconds(1));
    CHECK(detector.isSuspected(Id));
    CHECK_FALSE(detector.isSilent(Id));
    CHECK(detector.detect(seconds(1)).size() == 1);
    detector.recordBytes(Id, seconds(1) + milliseconds(50));
    detector.endVerification(Id);
    detector.recordPeerReport(Id, seconds(3));
    CHECK_FALSE(detector.isSuspected(Id));
    detector.recordPeerReport(Id, seconds(4) + SilenceDetector::ReportQuietTime);
    CHECK(detector.isSuspected(Id));
}

TEST_CASE("silence: a peer's report does not outweigh bytes that arrive here")
{
    SilenceDetector detector;
    const Instant last = streamEvents(detector, seconds(1), milliseconds(60), 5);
    detector.recordPeerReport(Id, last + milliseconds(20));
    CHECK_FALSE(detector.isSuspected(Id));
}
