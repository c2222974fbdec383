#include "chestnutsill/policy/feedselector.h"
#include "chestnutsill/policy/changelog.h"
#include "chestnutsill/policy/membership.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace chestnutsill;

namespace {

constexpr Instant Start = std::chrono::seconds(100);

/// A cluster of four availability zones with five instances each, as seen by the instance with this name.
Membership membershipOf(const std::string &name, const std::string &zone)
{
    Membership membership(name, zone);
    membership.setServing(true);
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
    const FeedCandidates candidates{{"a", "b"}, true};
    CHECK(selector.select(candidates, Start).peer.empty());
    selector.recordStoreFailure(Start);
    CHECK(selector.select(candidates, Start).peer == "a");
    selector.recordPeerFailure("a", Start);
    CHECK(selector.select(candidates, Start).peer == "b");
    CHECK(selector.select(candidates, Start + FeedSelector::FailureBackoff).peer.empty());
}

TEST_CASE("feed: an instance whose hub fails follows the next, and queries the store only as a last resort")
{
    FeedSelector selector;
    const FeedCandidates candidates{{"hub", "b"}, false};
    CHECK(selector.select(candidates, Start).peer == "hub");
    selector.recordPeerFailure("hub", Start);
    CHECK(selector.select(candidates, Start).peer == "b");
    selector.recordPeerFailure("b", Start + milliseconds(100));
    CHECK(selector.select(candidates, Start + milliseconds(200)) == FeedSource{});
    CHECK_FALSE(selector.hasUsablePeer(candidates, Start + milliseconds(200)));
    CHECK(selector.select(candidates, Start + FeedSelector::FailureBackoff).peer == "hub");
}

TEST_CASE("feed: an instance whose hubs are all stale stays with its own and does not query the store")
{
    FeedSelector selector;
    const FeedCandidates candidates{{"hub", "b", "c"}, false};
    selector.recordStalePeer("hub", Start - milliseconds(3000), Start);
    CHECK(selector.select(candidates, Start) == FeedSource{"b", false});
    selector.recordPeerFailure("b", Start);
    selector.recordStalePeer("c", Start - milliseconds(2600), Start);
    CHECK(selector.select(candidates, Start) == FeedSource{"hub", true});
    // All are tried again after the backoff, in case one of them has regained the store.
    CHECK(selector.select(candidates, Start + FeedSelector::FailureBackoff) == FeedSource{"hub", false});
}

TEST_CASE(
    "feed: a deputy whose hubs are all stale reads the store, which may serve it, and the others follow it")
{
    FeedSelector selector;
    const FeedCandidates candidates{{"hub", "b"}, false, true};
    CHECK(selector.select(candidates, Start).peer == "hub");
    selector.recordStalePeer("hub", Start - milliseconds(3000), Start);
    selector.recordStalePeer("b", Start - milliseconds(3000), Start);
    CHECK(selector.select(candidates, Start) == FeedSource{});
    FeedSelector member;
    const FeedCandidates ofMember{{"hub", "b", "deputy"}, false};
    member.recordStalePeer("hub", Start - milliseconds(3000), Start);
    member.recordStalePeer("b", Start - milliseconds(3000), Start);
    CHECK(member.select(ofMember, Start) == FeedSource{"deputy", false});
}

TEST_CASE("feed: an instance moves to another stale hub only if that one's confirmation is much newer")
{
    FeedSelector selector;
    const FeedCandidates candidates{{"hub", "b"}, false};
    selector.recordStalePeer("b", Start, Start);
    selector.recordStalePeer("hub", Start - FeedSelector::StaleMargin, Start);
    CHECK(selector.select(candidates, Start) == FeedSource{"hub", true});
    selector.recordStalePeer("hub", Start - FeedSelector::StaleMargin - milliseconds(1), Start);
    CHECK(selector.select(candidates, Start) == FeedSource{"b", true});
    selector.recordFreshPeer("hub");
    CHECK(selector.select(candidates, Start) == FeedSource{"hub", false});
}

TEST_CASE("feed: calls to a store that does not answer back off up to a limit and start over after an answer")
{
    FeedSelector selector;
    const FeedCandidates candidates{{"a"}, true};
    milliseconds last{};
    for (int i = 0; i < 6; ++i) {
        selector.recordStoreFailure(Start);
        CHECK(selector.storeRetryDelay(candidates, 0) >= FeedSelector::MinStoreRetryDelay / 2);
        CHECK(selector.storeRetryDelay(candidates, 1) >= last);
        CHECK(selector.storeRetryDelay(candidates, 1) <= FeedSelector::MaxStoreRetryDelay);
        last = selector.storeRetryDelay(candidates, 1);
    }
    CHECK(last == FeedSelector::MaxStoreRetryDelay);
    CHECK(selector.storeRetryDelay({}, 1) == FeedSelector::MaxSmallClusterRetryDelay);
    selector.recordStoreAnswer();
    selector.recordStoreFailure(Start);
    CHECK(selector.storeRetryDelay(candidates, 1) == FeedSelector::MinStoreRetryDelay);
}

namespace {

/// Plays an outage of the store for a cluster in which each instance polls the source that its selector
/// names: one hub for each of `zones`, and `members` other instances in each zone. Feeds are stale from the
/// start. Returns the calls to the store in `duration`.
int storeCallsInOutage(int zones, int members, milliseconds duration)
{
    constexpr milliseconds StalePoll{700};
    constexpr milliseconds OtherPoll{5};
    struct Instance
    {
        FeedCandidates candidates;
        FeedSelector selector;
        Instant nextAt;
    };
    std::vector<Instance> instances;
    for (int zone = 0; zone < zones; ++zone) {
        for (int i = 0; i <= members; ++i) {
            Instance instance;
            instance.candidates.isHub = i == 0;
            for (int other = 0; other < zones; ++other) {
                const int hub = (zone + other) % zones;
                if (hub != zone || i != 0)
                    instance.candidates.addresses.push_back("hub" + std::to_string(hub));
            }
            instance.nextAt = Start + milliseconds(i * 7 % 100);
            instances.push_back(std::move(instance));
        }
    }
    int calls = 0;
    for (Instant time = Start; time < Start + duration; time += milliseconds(1)) {
        for (Instance &instance : instances) {
            if (time < instance.nextAt)
                continue;
            const FeedSource source = instance.selector.select(instance.candidates, time);
            if (source.peer.empty()) {
                ++calls;
                instance.selector.recordStoreFailure(time);
                instance.nextAt = time + instance.selector.storeRetryDelay(instance.candidates, 0);
            } else {
                instance.selector.recordStalePeer(source.peer, Start - milliseconds(2600), time);
                instance.nextAt = time + (source.acceptsStale ? StalePoll : OtherPoll);
            }
        }
    }
    return calls;
}

} // namespace

TEST_CASE("feed: in an outage the calls to the store depend on the number of hubs, not on that of instances")
{
    constexpr milliseconds Outage{8000};
    const int calls = storeCallsInOutage(6, 10, Outage);
    CHECK(calls > 0);
    CHECK(storeCallsInOutage(6, 50, Outage) == calls);
    // Each hub calls at most once per half of the largest delay, apart from the first few calls.
    constexpr int FirstCalls = 4;
    CHECK(calls <= 6 * (FirstCalls + Outage / (FeedSelector::MaxStoreRetryDelay / 2)));
}

TEST_CASE("feed: polls that return changes late don't let the confirmation of a hub become stale")
{
    constexpr milliseconds Longest{1500};
    // Each poll returns a change just before its end, and so confirms its start only.
    Instant confirmedAt = Start;
    Instant time = Start;
    for (int i = 0; i < 20; ++i) {
        const milliseconds wait = storePollDuration(time - confirmedAt, Longest);
        CHECK(wait <= Longest);
        CHECK(time + wait - confirmedAt < MaxFeedAge);
        confirmedAt = time;
        time += wait;
    }
    CHECK(storePollDuration(Instant{}, Longest) == Longest);
    CHECK(storePollDuration(std::chrono::hours(1), Longest) > milliseconds(0));
}

TEST_CASE("feed: an instance that starts takes a fresh snapshot, then the store, then a stale snapshot")
{
    FeedSelector selector;
    const FeedCandidates candidates{{"hub", "b"}, false};
    CHECK(selector.selectFirst(candidates, Start, Start).peer == "hub");
    // A peer without a snapshot doesn't hold up the start for long.
    CHECK(selector.selectFirst(candidates, Start, Start + FeedSelector::MaxSnapshotWait) == FeedSource{});
    selector.recordStalePeer("hub", Start - milliseconds(9000), Start);
    selector.recordStalePeer("b", Start - milliseconds(9000), Start);
    CHECK(selector.selectFirst(candidates, Start, Start) == FeedSource{});
    selector.recordStoreFailure(Start);
    CHECK(selector.selectFirst(candidates, Start, Start) == FeedSource{"hub", true});
    CHECK(selector.selectFirst({{"hub", "b"}, true}, Start, Start) == FeedSource{});
}

TEST_CASE("change log: a snapshot holds each item as last written, and no deleted ones")
{
    ChangeLog changes;
    changes.restart({{"a", "1", 3, false}, {"b", "1", 4, false}}, {1, 5});
    changes.add({"a", "2", 6, false});
    changes.add({"c", "1", 7, false});
    changes.add({"b", "", 8, true});
    const auto items = changes.snapshot();
    REQUIRE(items.size() == 2);
    CHECK(items[0].key == "a");
    CHECK(items[0].value == "2");
    CHECK(items[1].key == "c");
    CHECK(changes.revision() == StoreRevision{1, 8});
    CHECK_FALSE(changes.since({1, 4}));
    CHECK(changes.since({1, 5})->size() == 3);
    CHECK_FALSE(changes.since({0, 8}));
    CHECK_FALSE(changes.since({2, 8}));
    changes.restart({}, {1, 9});
    CHECK(changes.snapshot().empty());
}

TEST_CASE("feed: without peers the store is queried even right after a failure")
{
    FeedSelector selector;
    selector.recordStoreFailure(Start);
    CHECK(selector.select({}, Start) == FeedSource{});
    CHECK(selector.select({{}, true}, Start) == FeedSource{});
}

TEST_CASE("feed: the hub of the own availability zone is preferred to the hubs of the other zones")
{
    int deputies = 0;
    for (int i = 0; i < 20; ++i) {
        const std::string name = "i" + std::to_string(i);
        const std::string zone = "z" + std::to_string(i % 4);
        const Membership membership = membershipOf(name, zone);
        const FeedCandidates candidates = membership.feedCandidates(Start);
        const std::string hub = membership.hubOf(zone, Start);
        CHECK(candidates.isHub == (hub == name));
        // Three hubs of other zones, and of the own zone the hub and one deputy, without this instance.
        CHECK(candidates.addresses.size() == (hub == name || candidates.isDeputy ? 4 : 5));
        deputies += candidates.isDeputy ? 1 : 0;
        if (hub != name)
            CHECK(candidates.addresses.front() == hub + ":2");
        CHECK(std::count(candidates.addresses.begin(), candidates.addresses.end(), name + ":2") == 0);
    }
    // With the four hubs, at least `MinStoreReaders`.
    CHECK(deputies == 4);
}

TEST_CASE("feed: in a small cluster each instance reads the store itself")
{
    Membership membership("i0", "z0");
    membership.mergeStatus(InstanceStatus{"i1", 1, "z1", "i1:1", "i1:2", true}, Start);
    const FeedCandidates candidates = membership.feedCandidates(Start);
    CHECK(candidates.addresses.empty());
}

// Guards against large tables in quick succession that fill the memory of an instance.
TEST_CASE("change log: changes are kept up to a number of bytes, and older ones are replaced by a snapshot")
{
    constexpr std::size_t TableBytes = 857'000;
    constexpr std::uint64_t Versions = 100;
    ChangeLog changes;
    changes.restart({}, {1, 1});
    for (std::uint64_t version = 1; version <= Versions; ++version)
        changes.add({"table", std::string(TableBytes, 'x'), 1 + version, false});
    std::size_t kept = 0;
    for (std::uint64_t after = 1; after <= Versions; ++after) {
        const auto since = changes.since({1, after});
        if (!since)
            continue;
        CHECK(since->size() == Versions + 1 - after);
        std::size_t bytes = 0;
        for (const PublishedItem &item : *since)
            bytes += item.key.size() + item.value.size();
        kept = std::max(kept, bytes);
    }
    CHECK(kept > 0);
    CHECK(kept <= ChangeLog::MaxChangeBytes);
    CHECK(changes.since({1, Versions + 1}));
    CHECK(changes.snapshot().size() == 1);
}
