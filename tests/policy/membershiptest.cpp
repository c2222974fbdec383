#include "chestnutsill/policy/membership.h"
#include "chestnutsill/policy/freshness.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace chestnutsill;

namespace {

/// Maximum time for which a directory answer may list a dead instance, at the strictest site.
constexpr milliseconds DirectoryAnswerLimit{6000};

InstanceStatus status(const std::string &name, milliseconds age = milliseconds(0))
{
    const std::string zone = "z" + std::to_string(std::hash<std::string>()(name) % 4);
    return {name, 1, zone, name + ":1", name, true, age};
}

/// Instances that exchange heartbeats in rounds without loss and initially know only the seed instance i0.
class MembershipModel
{
public:
    explicit MembershipModel(int size)
    {
        for (int i = 0; i < size; ++i) {
            const std::string name = "i" + std::to_string(i);
            m_memberships.emplace_back(name, Membership(name, status(name).zone));
            m_memberships.back().second.setServing(true);
        }
    }

    void round(Instant now, const std::set<std::string> &dead = {})
    {
        ++m_round;
        for (auto &[name, membership] : m_memberships) {
            if (dead.contains(name))
                continue;
            membership.checkHub(now);
            membership.checkActive(now);
            const bool gossips = !membership.isLarge(now) || m_round % Membership::RoundsPerGossip == 0;
            std::vector<std::string> targets =
                gossips ? membership.gossipTargets(now, m_round) : std::vector<std::string>();
            if (membership.isLarge(now)) {
                const auto hub = membership.hubTargets(now);
                targets.insert(targets.end(), hub.hubs.begin(), hub.hubs.end());
                for (const InstanceStatus &member : hub.members)
                    targets.push_back(member.peerAddress);
            } else if (targets.empty()) {
                targets.emplace_back("i0");
            }
            for (const std::string &target : targets) {
                if (dead.contains(target) || target == name)
                    continue;
                Membership &peer = find(target);
                sendHeartbeat(name, membership, peer, now);
                if (peer.knowsFarMoreThan(membership.size(now), now))
                    sendHeartbeat(target, peer, membership, now);
                for (const InstanceStatus &item : peer.statusesOf(membership.unknownInstances(), now))
                    membership.mergeStatus(item, now);
            }
        }
    }

    [[nodiscard]] std::size_t minSize(Instant now, const std::set<std::string> &dead = {}) const
    {
        std::size_t smallest = m_memberships.size();
        for (const auto &[name, membership] : m_memberships) {
            if (!dead.contains(name))
                smallest = std::min(smallest, membership.size(now));
        }
        return smallest;
    }

    [[nodiscard]] std::size_t maxSize(Instant now, const std::set<std::string> &dead) const
    {
        std::size_t largest = 0;
        for (const auto &[name, membership] : m_memberships) {
            if (!dead.contains(name))
                largest = std::max(largest, membership.size(now));
        }
        return largest;
    }

    /// Names of the instances that rank first for a key in the view of any live one, and of those that are
    /// settled.
    [[nodiscard]] std::set<std::string> firstRanked(std::uint64_t key, Instant now, bool onlySettled,
                                                    const std::set<std::string> &dead = {}) const
    {
        std::set<std::string> names;
        for (const auto &[name, membership] : m_memberships) {
            if (dead.contains(name) || (onlySettled && !membership.isSettled(now)))
                continue;
            const auto first = membership.firstRanked(key, now);
            names.insert(first ? first->name : name);
        }
        return names;
    }

private:
    Membership &find(const std::string &name)
    {
        return std::find_if(m_memberships.begin(), m_memberships.end(),
                            [&](const auto &item) { return item.first == name; })
            ->second;
    }

    void sendHeartbeat(const std::string &name, const Membership &from, Membership &to, Instant now) const
    {
        to.mergeStatus(status(name), now);
        to.recordHeartbeat(name, now);
        for (const InstanceStatus &item : from.statusesToSend(now, m_round))
            to.mergeStatus(item, now);
        for (const LivenessDigest &digest : from.digestsToSend(now))
            to.mergeDigest(digest, now);
    }

    std::vector<std::pair<std::string, Membership>> m_memberships;
    std::uint64_t m_round = 0;
};

} // namespace

TEST_CASE("membership: an instance not seen alive is dead, and relayed statuses of this one are ignored")
{
    Membership membership("me", "a");
    membership.mergeStatus(status("other"), seconds(10));
    membership.mergeStatus(status("me"), seconds(10));
    CHECK(membership.isAlive("other", seconds(10) + Membership::DeadAfter));
    CHECK_FALSE(membership.isAlive("other", seconds(10) + Membership::DeadAfter + milliseconds(1)));
    CHECK(membership.size(seconds(10)) == 2);
}

TEST_CASE("membership: outdated statuses don't revive a dead instance")
{
    Membership membership("me", "a");
    membership.mergeStatus(status("other"), seconds(10));
    for (int i = 1; i <= 40; ++i)
        membership.mergeStatus(status("other", milliseconds(100 * i)), seconds(10) + milliseconds(100 * i));
    CHECK_FALSE(membership.isAlive("other", seconds(14)));
}

TEST_CASE(
    "membership: instances discover each other from one seed address and detect the loss of half in time")
{
    for (const int size : {2, 8, 88, 300}) {
        CAPTURE(size);
        MembershipModel model(size);
        Instant now = seconds(1);
        for (int i = 0; i < 50; ++i, now += Membership::HeartbeatPeriod)
            model.round(now);
        CHECK(model.minSize(now) == static_cast<std::size_t>(size));
        std::set<std::string> dead;
        for (int i = 0; i < size / 2; ++i)
            dead.insert("i" + std::to_string(i));
        const Instant lost = now;
        while (now < lost + DirectoryAnswerLimit) {
            model.round(now, dead);
            now += Membership::HeartbeatPeriod;
            // No live instance is considered dead meanwhile.
            REQUIRE(model.minSize(now, dead) >= static_cast<std::size_t>(size - size / 2));
        }
        CHECK(model.maxSize(now, dead) == static_cast<std::size_t>(size - size / 2));
    }
}

TEST_CASE("membership: all instances agree on the hub of a zone, and another replaces a dead one")
{
    Membership one("one", "a");
    Membership two("two", "a");
    one.setServing(true);
    two.setServing(true);
    one.mergeStatus({"two", 1, "a", "", "two", true, milliseconds(0)}, seconds(10));
    two.mergeStatus({"one", 1, "a", "", "one", true, milliseconds(0)}, seconds(10));
    const std::string hub = one.hubOf("a", seconds(10));
    CHECK(hub == two.hubOf("a", seconds(10)));
    CHECK(one.hubOf("a", seconds(20)) == "one");
    CHECK(two.hubOf("a", seconds(20)) == "two");
    CHECK(one.hubOf("b", seconds(10)).empty());
}

TEST_CASE("membership: the hub is one of the strongest instances")
{
    CHECK(strengthOf(0.5, 200) == 10);
    CHECK(strengthOf(0.5, 10) == 1);
    CHECK(strengthOf(0.01, 1) == 1);
    Membership weak("weak", "a", 1);
    for (int i = 0; i < 8; ++i)
        weak.mergeStatus({"i" + std::to_string(i), 1, "a", "", "", true, milliseconds(0), i == 5 ? 4 : 2},
                         seconds(10));
    CHECK(weak.hubOf("a", seconds(10)) == "i5");
    Membership strong("strong", "a", 6);
    strong.setServing(true);
    strong.mergeStatus({"i5", 1, "a", "", "", true, milliseconds(0), 4}, seconds(10));
    CHECK(strong.hubOf("a", seconds(10)) == "strong");
}

TEST_CASE("membership: an instance that does not serve yet is hub only while no other of its zone serves")
{
    Membership own("own", "a", 9);
    own.mergeStatus({"peer", 1, "a", "", "peer:2", false, milliseconds(0), 1}, seconds(10));
    CHECK(own.hubOf("a", seconds(10)) == "own");
    own.mergeStatus({"peer", 1, "a", "", "peer:2", true, milliseconds(0), 1}, seconds(11));
    CHECK(own.hubOf("a", seconds(11)) == "peer");
    own.setServing(true);
    CHECK(own.hubOf("a", seconds(11)) == "own");
    // No instance of this zone serves: they agree on one, so that the others follow it.
    own.mergeStatus({"weak", 1, "b", "", "weak:2", false, milliseconds(0), 1}, seconds(11));
    own.mergeStatus({"strong", 1, "b", "", "strong:2", false, milliseconds(0), 2}, seconds(11));
    CHECK(own.hubOf("b", seconds(11)) == "strong");
}

TEST_CASE("membership: in a large cluster an instance rarely gossips with other zones")
{
    Membership own("own", "z0");
    std::set<std::string> sameZone;
    for (int i = 0; i < 60; ++i) {
        const InstanceStatus peer = status("i" + std::to_string(i));
        own.mergeStatus(peer, seconds(10));
        if (peer.zone == "z0")
            sameZone.insert(peer.peerAddress);
    }
    std::size_t toOtherZones = 0;
    for (std::uint64_t round = 0; round < Membership::RoundsPerZoneGossip;
         round += Membership::RoundsPerGossip) {
        const auto targets = own.gossipTargets(seconds(10), round);
        const auto inZone = static_cast<std::size_t>(
            std::count_if(targets.begin(), targets.end(),
                          [&](const std::string &target) { return sameZone.contains(target); }));
        CHECK(inZone == Membership::FanOut);
        toOtherZones += targets.size() - inZone;
    }
    CHECK(toOtherZones == 1);
}

TEST_CASE("membership: a directory answer lists serving instances, the strongest if there are too many")
{
    std::vector<InstanceStatus> instances;
    for (int i = 0; i < 100; ++i)
        instances.push_back({"i" + std::to_string(i), 1, "a", "address-" + std::to_string(i), "", i != 0,
                             milliseconds(0), i < 40 ? 5 : 1});
    const auto addresses = callerAddresses(instances, 1);
    CHECK(addresses.size() == 64);
    for (int i = 1; i < 40; ++i)
        CHECK(std::count(addresses.begin(), addresses.end(), "address-" + std::to_string(i)) == 1);
    CHECK(std::count(addresses.begin(), addresses.end(), "address-0") == 0);
    CHECK(callerAddresses(instances, 2) != addresses);
    instances.resize(10);
    CHECK(callerAddresses(instances, 1).size() == 9);
}

TEST_CASE("freshness: age grows without confirmations and older confirmations are ignored")
{
    Freshness freshness;
    CHECK_FALSE(freshness.isWithin(seconds(5), seconds(1)));
    freshness.confirm(3, seconds(10));
    CHECK(freshness.isWithin(seconds(5), seconds(14)));
    // The same holds for a process that was stopped meanwhile, since the clock advances.
    CHECK_FALSE(freshness.isWithin(seconds(5), seconds(15)));
    freshness.confirm(2, seconds(20));
    freshness.confirm(3, seconds(8));
    CHECK(*freshness.age(seconds(14)) == seconds(4));
}

TEST_CASE("membership: all settled instances rank the same one first for a key, also after losses")
{
    for (const int size : {2, 6, 8, 80}) {
        CAPTURE(size);
        MembershipModel model(size);
        Instant now{};
        const auto run = [&](int rounds, const std::set<std::string> &dead) {
            for (int i = 0; i < rounds; ++i) {
                now += Membership::HeartbeatPeriod;
                model.round(now, dead);
                CHECK(model.firstRanked(7, now, true, dead).size() <= 1);
            }
        };
        run(100, {});
        const auto before = model.firstRanked(7, now, true);
        REQUIRE(before.size() == 1);
        CHECK(model.firstRanked(7, now, false) == before);
        run(100, before);
        const auto after = model.firstRanked(7, now, false, before);
        REQUIRE(after.size() == 1);
        CHECK(after != before);
        // One of two can't tell a loss from a division.
        CHECK(model.firstRanked(7, now, true, before).size() == (size == 2 ? 0 : 1));
    }
}
