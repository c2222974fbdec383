#include "chestnutsill/policy/upstreamselection.h"
#include "chestnutsill/policy/outlierdetector.h"
#include "chestnutsill/policy/upstreamload.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace chestnutsill;

namespace {

Prompt sharedPrompt(std::uint64_t part)
{
    return {{{part, 13300}, {part + 1'000'000, 3700}}, 17000, 100};
}

std::vector<std::string> ids(int count)
{
    std::vector<std::string> made;
    for (int i = 0; i < count; ++i)
        made.push_back("u" + std::to_string(i));
    return made;
}

std::vector<UpstreamCandidate> idle(const std::vector<std::string> &upstreams)
{
    std::vector<UpstreamCandidate> made;
    for (const std::string &id : upstreams)
        made.push_back({.upstream = id, .slots = 64, .sameZone = true});
    return made;
}

} // namespace

TEST_CASE("upstream selection: all instances send a shared part to the same upstream, and parts spread over "
          "upstreams")
{
    const auto upstreams = ids(9);
    const auto candidates = idle(upstreams);
    std::map<std::size_t, int> selected;
    for (std::uint64_t part = 1; part <= 900; ++part) {
        const auto first = selectUpstream(candidates, sharedPrompt(part), {}, 1);
        const auto other = selectUpstream(candidates, sharedPrompt(part), {}, 2);
        REQUIRE(first);
        CHECK(first->candidate == other->candidate);
        ++selected[first->candidate];
    }
    for (const auto &[candidate, count] : selected)
        CHECK(count > 60);
    CHECK(selected.size() == 9);
}

TEST_CASE("upstream selection: another upstream is selected once waiting costs more than a redundant prefill")
{
    const auto upstreams = ids(6);
    auto candidates = idle(upstreams);
    const auto firstRanked = selectUpstream(candidates, sharedPrompt(5), {}, 1)->candidate;
    candidates[firstRanked].tokensToPrefill = 5000;
    CHECK(selectUpstream(candidates, sharedPrompt(5), {}, 1)->candidate == firstRanked);
    candidates[firstRanked].tokensToPrefill = 60000;
    const auto selection = selectUpstream(candidates, sharedPrompt(5), {}, 1);
    CHECK(selection->candidate != firstRanked);
    CHECK(selection->tokensToPrefill == 17000);
}

TEST_CASE("upstream selection: a second cached copy of a part is used before a third one is made")
{
    const auto upstreams = ids(6);
    auto candidates = idle(upstreams);
    const auto firstRanked = selectUpstream(candidates, sharedPrompt(5), {}, 1)->candidate;
    const std::size_t copy = firstRanked == 0 ? 1 : 0;
    candidates[firstRanked].tokensToPrefill = 30000;
    candidates[copy].cachedTokens = 13300;
    CHECK(selectUpstream(candidates, sharedPrompt(5), {}, 1)->candidate == copy);
}

TEST_CASE("upstream selection: a part is fetched from the engine that has prefilled it when that engine's "
          "queue is long")
{
    const auto upstreams = ids(6);
    auto candidates = idle(upstreams);
    ServiceTimeModel timeModel;
    timeModel.fetchTokensPerMs = 5000;
    candidates[2].cachedTokens = candidates[2].prefilledTokens = 13300;
    CHECK(selectUpstream(candidates, sharedPrompt(5), timeModel, 1)->candidate == 2);
    candidates[2].tokensToPrefill = 50000;
    const auto selection = selectUpstream(candidates, sharedPrompt(5), timeModel, 1);
    REQUIRE(selection);
    CHECK(selection->candidate != 2);
    CHECK(selection->source == 2);
    CHECK(selection->tokensToPrefill == 3700);
}

TEST_CASE("upstream selection: a part that awaits prefill can't be fetched")
{
    const auto upstreams = ids(6);
    auto candidates = idle(upstreams);
    ServiceTimeModel timeModel;
    timeModel.fetchTokensPerMs = 5000;
    candidates[2].cachedTokens = 13300;
    candidates[2].tokensToPrefill = 20000;
    const auto selection = selectUpstream(candidates, sharedPrompt(5), timeModel, 1);
    CHECK(selection->candidate == 2);
    CHECK_FALSE(selection->source);
}

TEST_CASE("upstream selection: a fetch source is set even when the part is expected to be cached already")
{
    const auto upstreams = ids(6);
    auto candidates = idle(upstreams);
    ServiceTimeModel timeModel;
    timeModel.fetchTokensPerMs = 5000;
    for (const std::size_t i : {1U, 4U})
        candidates[i].cachedTokens = candidates[i].prefilledTokens = 13300;
    const auto selection = selectUpstream(candidates, sharedPrompt(5), timeModel, 1);
    REQUIRE(selection->source);
    CHECK(selection->candidate + *selection->source == 5);
    // Without fetching no source is set.
    CHECK_FALSE(selectUpstream(candidates, sharedPrompt(5), {}, 1)->source);
}

TEST_CASE("upstream selection: short parts are prefilled, since setting up a fetch takes as long")
{
    const auto upstreams = ids(2);
    auto candidates = idle(upstreams);
    ServiceTimeModel timeModel;
    timeModel.fetchTokensPerMs = 5000;
    const Prompt prompt{{{1, 200}, {2, 1000}}, 1200, 100};
    candidates[0].cachedTokens = candidates[0].prefilledTokens = 200;
    candidates[0].tokensToPrefill = 50000;
    CHECK(selectUpstream(candidates, prompt, timeModel, 1)->tokensToPrefill == 1200);
}

TEST_CASE("upstream selection: failing and full upstreams are avoided while others are free")
{
    const auto upstreams = ids(2);
    auto candidates = idle(upstreams);
    const Prompt plain;
    candidates[0].failureRate = 0.5;
    CHECK(selectUpstream(candidates, plain, {}, 1)->candidate == 1);
    candidates[0].failureRate = 0;
    candidates[1].running = 70;
    CHECK(selectUpstream(candidates, plain, {}, 1)->candidate == 0);
    CHECK_FALSE(selectUpstream({}, plain, {}, 1));
}

TEST_CASE(
    "upstream selection: equal views reserve the same upstreams for gap-sensitive streams, and the loss "
    "of one changes few")
{
    const auto upstreams = ids(18);
    auto views = idle(upstreams);
    const auto reserved = reserveForGapSensitive(views);
    CHECK(std::count(reserved.begin(), reserved.end(), true) == 5);
    std::reverse(views.begin(), views.end());
    auto reversed = reserveForGapSensitive(views);
    std::reverse(reversed.begin(), reversed.end());
    CHECK(reserved == reversed);
    std::reverse(views.begin(), views.end());
    views.pop_back();
    const auto fewer = reserveForGapSensitive(views);
    int moved = 0;
    for (std::size_t i = 0; i < fewer.size(); ++i)
        moved += fewer[i] != reserved[i] ? 1 : 0;
    CHECK(moved <= 1);
    const std::vector<UpstreamCandidate> three(views.begin(), views.begin() + 3);
    CHECK(reserveForGapSensitive(three) == std::vector<bool>{false, false, false});
}

TEST_CASE(
    "upstream selection: more upstreams are reserved for gap-sensitive streams while the reserved ones are "
    "busy, never all")
{
    const auto upstreams = ids(20);
    auto views = idle(upstreams);
    const auto few = reserveForGapSensitive(views);
    CHECK(std::count(few.begin(), few.end(), true) == 5);
    for (UpstreamCandidate &candidate : views)
        candidate.running = candidate.slots;
    const auto most = reserveForGapSensitive(views);
    CHECK(std::count(most.begin(), most.end(), true) == 14);
    // Those that were reserved stay reserved.
    for (std::size_t i = 0; i < few.size(); ++i)
        CHECK((!few[i] || most[i]));
    for (std::size_t i = 0; i < views.size(); ++i)
        views[i].running = few[i] ? views[i].slots / 2 : 0;
    const auto some = reserveForGapSensitive(views);
    const auto count = std::count(some.begin(), some.end(), true);
    CHECK(count > 5);
    CHECK(count < 14);
}

TEST_CASE("upstream selection: an idle upstream in cold start is found among many busy ones")
{
    const auto upstreams = ids(100);
    auto candidates = idle(upstreams);
    for (UpstreamCandidate &candidate : candidates)
        candidate.tokensToPrefill = 40000;
    candidates[70].tokensToPrefill = 0;
    candidates[70].inColdStart = true;
    for (const bool sensitive : {false, true}) {
        separateByGapSensitivity(candidates, sensitive);
        for (std::uint64_t seed = 1; seed <= 20; ++seed)
            CHECK(selectUpstream(candidates, {{{seed, 3700}}, 3700, 100}, {}, seed)->candidate == 70);
    }
}

TEST_CASE("load table: local load counts at once, that of peers until their report is too old")
{
    LoadTable table;
    table.recordStart("u1", 1000);
    table.recordStart("u1", 500);
    table.recordPrefill("u1", 1000);
    CHECK(table.total("u1", seconds(1)).running == 2);
    CHECK(table.total("u1", seconds(1)).tokensToPrefill == 500);
    LoadTable peer;
    peer.recordStart("u1", 250);
    table.mergeLoads("peer", peer.localLoads(), seconds(1));
    CHECK(table.total("u1", seconds(1)).tokensToPrefill == 750);
    CHECK(table.total("u1", seconds(1) + LoadTable::PeerTimeout + milliseconds(1)).tokensToPrefill == 500);
    table.recordEnd("u1");
    table.recordEnd("u1");
    CHECK(table.localLoads().empty());
}

TEST_CASE("load table: a hub sums the load of its zone without that of the receiver")
{
    LoadTable hub;
    hub.recordStart("u1", 100);
    LoadTable member;
    member.recordStart("u1", 30);
    member.recordStart("u2", 5);
    hub.mergeLoads("member", member.localLoads(), seconds(1));
    const auto forMember = hub.sumExcluding({"member"}, seconds(1));
    REQUIRE(forMember.size() == 1);
    CHECK(forMember[0].load.tokensToPrefill == 100);
    const auto forHubs = hub.sumExcluding({}, seconds(1));
    CHECK(forHubs.size() == 2);
    CHECK(hub.sumExcluding({}, seconds(10)).size() == 1);
}

TEST_CASE("prefix cache index: a part counts only after all parts before it, and the least recently used is "
          "evicted first")
{
    PrefixCacheIndex cache;
    const Prompt first{{{1, 100}, {2, 50}, {3, 10}}, 160, 0};
    cache.recordSend("u1", first, 305);
    CHECK(cache.cachedTokens("u1", first) == 160);
    CHECK(cache.cachedTokens("u2", first) == 0);
    CHECK(cache.cachedTokens("u1", {{{1, 100}, {9, 50}}, 150, 0}) == 100);
    CHECK(cache.cachedTokens("u1", {{{9, 100}, {2, 50}}, 150, 0}) == 0);
    cache.recordSend("u1", {{{1, 100}, {4, 150}}, 250, 0}, 305);
    CHECK(cache.cachedTokens("u1", {{{1, 100}, {2, 50}, {3, 10}}, 160, 0}) == 150);
    cache.forget("u1");
    CHECK(cache.cachedTokens("u1", first) == 0);
}

TEST_CASE("prefix cache index: shared parts are reported to peers several times because heartbeats get lost")
{
    PrefixCacheIndex own;
    PrefixCacheIndex peer;
    const Prompt prompt{{{1, 100}, {2, 50}}, 150, 0};
    own.recordSend("u1", prompt, 1000);
    for (int i = 0; i < PrefixCacheIndex::TransmitCount; ++i) {
        const auto updates = own.takeUpdates();
        REQUIRE(updates.size() == 1);
        peer.mergeUpdate(updates[0], false);
    }
    CHECK(own.takeUpdates().empty());
    // The last part is specific to the request and not reported.
    CHECK(peer.cachedTokens("u1", prompt) == 100);
}

TEST_CASE(
    "prefix cache index: prefilled parts are distinguished from those that await prefill, also at peers")
{
    PrefixCacheIndex own;
    PrefixCacheIndex peer;
    const Prompt prompt{{{1, 100}, {2, 50}}, 150, 0};
    const auto sendUpdates = [&] {
        for (int i = 0; i < PrefixCacheIndex::TransmitCount; ++i) {
            for (const PrefixCacheUpdate &update : own.takeUpdates())
                peer.mergeUpdate(update, false);
        }
    };
    own.recordSend("u1", prompt, 1000);
    sendUpdates();
    CHECK(own.prefilledTokens("u1", prompt) == 0);
    CHECK(peer.prefilledTokens("u1", prompt) == 0);
    own.recordPrefill("u1", prompt);
    sendUpdates();
    CHECK(own.prefilledTokens("u1", prompt) == 150);
    CHECK(peer.prefilledTokens("u1", prompt) == 100);
    // Parts known to be prefilled are not reported again.
    own.recordPrefill("u1", prompt);
    CHECK(own.takeUpdates().empty());
}

TEST_CASE(
    "outlier detector: an unreachable upstream is ejected for longer each time, and is usable again after "
    "one success")
{
    OutlierDetector detector;
    detector.record("u1", AttemptResult::Unreachable, seconds(10));
    CHECK(detector.isEjected("u1", seconds(10) + milliseconds(199)));
    CHECK_FALSE(detector.isEjected("u1", seconds(10) + milliseconds(200)));
    detector.record("u1", AttemptResult::Unreachable, seconds(11));
    CHECK(detector.isEjected("u1", seconds(11) + milliseconds(399)));
    detector.record("u1", AttemptResult::Served, seconds(12));
    CHECK_FALSE(detector.isEjected("u1", seconds(12)));
}

TEST_CASE("outlier detector: an upstream at whose address others respond is ejected for up to 30 s, until it "
          "is elsewhere")
{
    OutlierDetector detector;
    Instant time = seconds(10);
    detector.record("u1", AttemptResult::Replaced, time);
    CHECK(detector.isEjected("u1", time + milliseconds(199)));
    CHECK_FALSE(detector.isEjected("u1", time + milliseconds(200)));
    for (int i = 0; i < 10; ++i)
        detector.record("u1", AttemptResult::Replaced, time += seconds(30));
    CHECK(detector.isEjected("u1", time + milliseconds(29'999)));
    CHECK_FALSE(detector.isEjected("u1", time + seconds(30)));
    CHECK(detector.failureRate("u1", time) == 0);
    detector.forgive("u1");
    CHECK_FALSE(detector.isEjected("u1", time));
    // Failed connections after that are not taken for more of the same.
    for (int i = 0; i < 10; ++i)
        detector.record("u1", AttemptResult::Unreachable, time);
    CHECK_FALSE(detector.isEjected("u1", time + seconds(2)));
}

TEST_CASE("outlier detector: failures count until requests succeed or time passes")
{
    OutlierDetector detector;
    for (int i = 0; i < 20; ++i)
        detector.record("u1", AttemptResult::Failed, seconds(10));
    CHECK(detector.failureRate("u1", seconds(10)) > 0.9);
    CHECK(detector.failureRate("u1", seconds(12)) < 0.55);
    for (int i = 0; i < 20; ++i)
        detector.record("u1", AttemptResult::Served, seconds(10));
    CHECK(detector.failureRate("u1", seconds(10)) < 0.05);
    detector.record("u2", AttemptResult::Refused, seconds(10));
    CHECK(detector.failureRate("u2", seconds(10)) == 0);
}
