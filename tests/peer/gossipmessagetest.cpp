#include "chestnutsill/peer/gossipmessage.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace chestnutsill;

namespace {

GossipMessage sample()
{
    GossipMessage message;
    message.self = {"one", 11, "a", "127.0.0.1:1", "127.0.0.1:2", true, milliseconds(0), 7};
    message.others.push_back({"two", 12, "b", "127.0.0.1:3", "127.0.0.1:4", false, milliseconds(250)});
    message.tableVersion = 9;
    message.confirmedAge = milliseconds(1200);
    message.loads = std::vector<UpstreamLoad>{{77, {3, 1500.0}}};
    message.digests.push_back({0xffffffff, true, milliseconds(1234)});
    message.digests.push_back({5, false, milliseconds(0)});
    message.unknownInstances = {9};
    message.revision = 321;
    message.followedFor = seconds(70);
    message.sentAt = seconds(4);
    message.echoes.push_back({12, seconds(3), milliseconds(20)});
    message.cacheUpdates.push_back({77, {{1, 100}, {2, 50}}, true});
    message.crashes.push_back({5, {6, 7}, {{14, 1}, {15, 0}}, message.sentAt - milliseconds(70)});
    message.bans.push_back({16, 3, milliseconds(4500)});
    message.servedParts = {17};
    message.cleared = {8};
    message.silentUpstreams = {13};
    return message;
}

} // namespace

TEST_CASE("heartbeat: decoding an encoded message yields the same values")
{
    const auto read = decodeGossip(encodeGossip(sample()));
    REQUIRE(read);
    CHECK(read->self.name == "one");
    CHECK(read->self.serving);
    CHECK(read->self.strength == 7);
    REQUIRE(read->others.size() == 1);
    CHECK(read->others[0].age == milliseconds(250));
    CHECK(read->tableVersion == 9);
    CHECK(read->confirmedAge == milliseconds(1200));
    REQUIRE(read->loads);
    REQUIRE(read->loads->size() == 1);
    CHECK(read->loads->at(0).load.running == 3);
    CHECK(read->loads->at(0).load.tokensToPrefill == 1500);
    REQUIRE(read->digests.size() == 2);
    CHECK(read->digests[0].instance == 0xffffffff);
    CHECK(read->digests[0].serving);
    CHECK(read->digests[0].age == milliseconds(1234));
    CHECK_FALSE(read->digests[1].serving);
    CHECK(read->unknownInstances == std::vector<std::uint32_t>{9});
    CHECK(read->revision == 321);
    CHECK(read->followedFor == seconds(70));
    CHECK(read->echoes.at(0).sentAt == seconds(3));
    CHECK(read->cacheUpdates.at(0).parts.at(1).tokens == 50);
    CHECK(read->cacheUpdates.at(0).prefilled);
    CHECK(read->crashes.at(0).fingerprints == std::vector<std::uint64_t>{6, 7});
    REQUIRE(read->crashes.at(0).parts.size() == 2);
    CHECK(read->crashes.at(0).parts[0].part == 14);
    CHECK(read->crashes.at(0).parts[0].following == 1);
    CHECK(read->crashes[0].at == read->sentAt - milliseconds(70));
    REQUIRE(read->bans.size() == 1);
    CHECK(read->bans[0].part == 16);
    CHECK(read->bans[0].strikes == 3);
    CHECK(read->bans[0].age == milliseconds(4500));
    CHECK(read->servedParts == std::vector<std::uint64_t>{17});
    CHECK(read->cleared == std::vector<std::uint64_t>{8});
    CHECK(read->silentUpstreams == std::vector<std::uint64_t>{13});
    GossipMessage without = sample();
    without.confirmedAge.reset();
    without.loads.reset();
    CHECK_FALSE(decodeGossip(encodeGossip(without))->confirmedAge);
    CHECK_FALSE(decodeGossip(encodeGossip(without))->loads);
}

TEST_CASE("heartbeat: malformed bytes are rejected without a crash")
{
    CHECK_FALSE(decodeGossip({}));
    const std::string bytes = encodeGossip(sample());
    rc::check("decoding a mutated heartbeat doesn't crash", [&] {
        std::string mutated = bytes;
        const auto changes = *rc::gen::inRange(1, 8);
        for (int i = 0; i < changes; ++i)
            mutated[*rc::gen::inRange<std::size_t>(0, mutated.size())] =
                static_cast<char>(*rc::gen::inRange(0, 256));
        mutated.resize(*rc::gen::inRange<std::size_t>(0, mutated.size() + 1));
        (void)decodeGossip(mutated);
    });
}
