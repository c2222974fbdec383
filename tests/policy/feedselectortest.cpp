#include "chestnutsill/policy/feedselector.h"
#include "chestnutsill/policy/membership.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace chestnutsill;

namespace {

constexpr Instant Start = std::chrono::seconds(100);

/// A cluster of four availability zones with five instances each, as seen by the instance with this name.
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

TEST_CASE("feed: a hub that cannot reach the store follows other hubs and retries the store later")
{
    FeedSelector selector;
    const FeedCandidates candidates{true, {"a", "b"}};
    CHECK(selector.select(candidates, Start).empty());
    selector.recordStoreFailure(Start);
    CHECK(selector.select(candidates, Start) == "a");
    selector.recordPeerFailure("a", Start);
    CHECK(selector.select(candidates, Start) == "b");
    CHECK(selector.select(candidates, Start + FeedSelector::FailureBackoff).empty());
}

TEST_CASE("feed: an instance whose hub fails follows the next, and queries the store only as a last resort")
{
    FeedSelector selector;
    const FeedCandidates candidates{false, {"hub", "b"}};
    CHECK(selector.select(candidates, Start) == "hub");
    selector.recordPeerFailure("hub", Start);
    CHECK(selector.select(candidates, Start) == "b");
    selector.recordPeerFailure("b", Start + milliseconds(100));
    CHECK(selector.select(candidates, Start + milliseconds(200)).empty());
    CHECK_FALSE(selector.hasUsablePeer(candidates, Start + milliseconds(200)));
    CHECK(selector.select(candidates, Start + FeedSelector::FailureBackoff) == "hub");
}

TEST_CASE("feed: without peers the store is queried even right after a failure")
{
    FeedSelector selector;
    selector.recordStoreFailure(Start);
    CHECK(selector.select({}, Start).empty());
    CHECK(selector.select({true, {}}, Start).empty());
}

TEST_CASE("feed: the hub of the own availability zone is preferred to the hubs of the other zones")
{
    for (int i = 0; i < 20; ++i) {
        const std::string name = "i" + std::to_string(i);
        const std::string zone = "z" + std::to_string(i % 4);
        const Membership membership = membershipOf(name, zone);
        const FeedCandidates candidates = membership.feedCandidates(Start);
        const std::string hub = membership.hubOf(zone, Start);
        CHECK(candidates.storeFirst == (hub == name));
        CHECK(candidates.addresses.size() == (hub == name ? 3 : 4));
        if (hub != name)
            CHECK(candidates.addresses.front() == hub + ":2");
        CHECK(std::count(candidates.addresses.begin(), candidates.addresses.end(), name + ":2") == 0);
    }
}

TEST_CASE("feed: in a small cluster each instance reads the store itself")
{
    Membership membership("i0", "z0");
    membership.mergeStatus(InstanceStatus{"i1", 1, "z1", "i1:1", "i1:2", true}, Start);
    const FeedCandidates candidates = membership.feedCandidates(Start);
    CHECK(candidates.addresses.empty());
}
