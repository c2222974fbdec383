#include "chestnutsill/policy/feedselector.h"
#include "chestnutsill/policy/membership.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace chestnutsill;

namespace {

constexpr Instant Start = std::chrono::seconds(100);

/// A fleet of four availability zones with five instances each, seen by the instance of this name.
Membership fleetOf(const std::string &name, const std::string &zone)
{
    Membership fleet(name, zone);
    for (int i = 0; i < 20; ++i) {
        const std::string other = "i" + std::to_string(i);
        fleet.hear(InstanceStatus{other, 1, "z" + std::to_string(i % 4), other + ":1", other + ":2", true},
                   Start);
    }
    return fleet;
}

} // namespace

TEST_CASE("a hub that the store turns away follows the others, and tries the store again later")
{
    FeedSelector choice;
    const FeedCandidates peers{true, {"a", "b"}};
    CHECK(choice.next(peers, Start).empty());
    choice.storeFailed(Start);
    CHECK(choice.next(peers, Start) == "a");
    choice.peerFailed("a", Start);
    CHECK(choice.next(peers, Start) == "b");
    CHECK(choice.next(peers, Start + FeedSelector::PassOverFor).empty());
}

TEST_CASE("an instance whose hub fails follows the next one, and asks the store only when all have failed")
{
    FeedSelector choice;
    const FeedCandidates peers{false, {"hub", "b"}};
    CHECK(choice.next(peers, Start) == "hub");
    choice.peerFailed("hub", Start);
    CHECK(choice.next(peers, Start) == "b");
    choice.peerFailed("b", Start + milliseconds(100));
    CHECK(choice.next(peers, Start + milliseconds(200)).empty());
    CHECK_FALSE(choice.hasPeer(peers, Start + milliseconds(200)));
    CHECK(choice.next(peers, Start + FeedSelector::PassOverFor) == "hub");
}

TEST_CASE("without peers the store is asked, also right after it has failed")
{
    FeedSelector choice;
    choice.storeFailed(Start);
    CHECK(choice.next({}, Start).empty());
    CHECK(choice.next({true, {}}, Start).empty());
}

TEST_CASE("the hub of the own availability zone is followed first, and hubs of all others may be")
{
    for (int i = 0; i < 20; ++i) {
        const std::string name = "i" + std::to_string(i);
        const std::string zone = "z" + std::to_string(i % 4);
        const Membership fleet = fleetOf(name, zone);
        const FeedCandidates peers = fleet.feedPeers(Start);
        const std::string hub = fleet.hubOf(zone, Start);
        CHECK(peers.storeFirst == (hub == name));
        CHECK(peers.addresses.size() == (hub == name ? 3 : 4));
        if (hub != name)
            CHECK(peers.addresses.front() == hub + ":2");
        CHECK(std::count(peers.addresses.begin(), peers.addresses.end(), name + ":2") == 0);
    }
}

TEST_CASE("in a small fleet each instance follows the store by itself")
{
    Membership fleet("i0", "z0");
    fleet.hear(InstanceStatus{"i1", 1, "z1", "i1:1", "i1:2", true}, Start);
    const FeedCandidates peers = fleet.feedPeers(Start);
    CHECK(peers.addresses.empty());
}
