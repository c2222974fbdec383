#include "chestnutsill/policy/feedselector.h"
#include "chestnutsill/policy/membership.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace chestnutsill;

namespace {

constexpr Instant Start = std::chrono::seconds(100);

/// A fleet of four availability zones with five instances each, seen by the instance of this name.
Membership membershipOf(const std::string &name, const std::string &zone)
{
    Membership membership(name, zone);
    for (int i = 0; i < 20; ++i) {
        const std::string other = "i" + std::to_string(i);
        membership.mergeStatus(
            InstanceStatus{other, 1, "z" + std::to_string(i % 4), other + ":1", other + ":2", true}, Start);
    }
    return membership;
}

} // namespace

TEST_CASE("a hub that the store turns away follows the others, and tries the store again later")
{
    FeedSelector selector;
    const FeedCandidates peers{true, {"a", "b"}};
    CHECK(selector.next(peers, Start).empty());
    selector.recordStoreFailure(Start);
    CHECK(selector.next(peers, Start) == "a");
    selector.recordPeerFailure("a", Start);
    CHECK(selector.next(peers, Start) == "b");
    CHECK(selector.next(peers, Start + FeedSelector::FailureBackoff).empty());
}

TEST_CASE("an instance whose hub fails follows the next one, and asks the store only when all have failed")
{
    FeedSelector selector;
    const FeedCandidates peers{false, {"hub", "b"}};
    CHECK(selector.next(peers, Start) == "hub");
    selector.recordPeerFailure("hub", Start);
    CHECK(selector.next(peers, Start) == "b");
    selector.recordPeerFailure("b", Start + milliseconds(100));
    CHECK(selector.next(peers, Start + milliseconds(200)).empty());
    CHECK_FALSE(selector.hasPeer(peers, Start + milliseconds(200)));
    CHECK(selector.next(peers, Start + FeedSelector::FailureBackoff) == "hub");
}

TEST_CASE("without peers the store is asked, also right after it has failed")
{
    FeedSelector selector;
    selector.recordStoreFailure(Start);
    CHECK(selector.next({}, Start).empty());
    CHECK(selector.next({true, {}}, Start).empty());
}

TEST_CASE("the hub of the own availability zone is followed first, and hubs of all others may be")
{
    for (int i = 0; i < 20; ++i) {
        const std::string name = "i" + std::to_string(i);
        const std::string zone = "z" + std::to_string(i % 4);
        const Membership membership = membershipOf(name, zone);
        const FeedCandidates peers = membership.feedCandidates(Start);
        const std::string hub = membership.hubOf(zone, Start);
        CHECK(peers.storeFirst == (hub == name));
        CHECK(peers.addresses.size() == (hub == name ? 3 : 4));
        if (hub != name)
            CHECK(peers.addresses.front() == hub + ":2");
        CHECK(std::count(peers.addresses.begin(), peers.addresses.end(), name + ":2") == 0);
    }
}

TEST_CASE("in a small fleet each instance follows the store by itself")
{
    Membership membership("i0", "z0");
    membership.mergeStatus(InstanceStatus{"i1", 1, "z1", "i1:1", "i1:2", true}, Start);
    const FeedCandidates peers = membership.feedCandidates(Start);
    CHECK(peers.addresses.empty());
}
