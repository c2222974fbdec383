#include "chestnutsill/policy/freshness.h"
#include "chestnutsill/policy/membership.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace chestnutsill;

namespace {

/// A directory answer may name a dead instance for so long at the strictest of the users' sites.
constexpr milliseconds DirectoryTime{6000};

InstanceStatus news(const std::string &name, milliseconds age = milliseconds(0))
{
    const std::string zone = "z" + std::to_string(std::hash<std::string>()(name) % 4);
    return {name, 1, zone, name + ":1", name, true, age};
}

/// Many instances that exchange heartbeats in rounds without loss, from one seed on.
class FleetModel
{
public:
    explicit FleetModel(int size)
    {
        for (int i = 0; i < size; ++i)
            m_fleets.emplace_back("i" + std::to_string(i),
                                  Membership("i" + std::to_string(i), news("i" + std::to_string(i)).zone));
    }

    void round(Instant now, const std::set<std::string> &dead = {})
    {
        ++m_turn;
        for (auto &[name, fleet] : m_fleets) {
            if (dead.contains(name))
                continue;
            fleet.watchHub(now);
            const bool gossips = !fleet.isLarge(now) || m_turn % Membership::GossipTurns == 0;
            std::vector<std::string> targets =
                gossips ? fleet.targets(now, m_turn) : std::vector<std::string>();
            if (fleet.isLarge(now)) {
                const auto hub = fleet.hubTargets(now);
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
                tell(name, fleet, peer, now);
                if (peer.knowsFarMoreThan(fleet.size(now), now))
                    tell(target, peer, fleet, now);
                for (const InstanceStatus &item : peer.introduce(fleet.wanted(), now))
                    fleet.hear(item, now);
            }
        }
    }

    [[nodiscard]] std::size_t fewestSeen(Instant now, const std::set<std::string> &dead = {}) const
    {
        std::size_t fewest = m_fleets.size();
        for (const auto &[name, fleet] : m_fleets) {
            if (!dead.contains(name))
                fewest = std::min(fewest, fleet.size(now));
        }
        return fewest;
    }

    [[nodiscard]] std::size_t mostSeen(Instant now, const std::set<std::string> &dead) const
    {
        std::size_t most = 0;
        for (const auto &[name, fleet] : m_fleets) {
            if (!dead.contains(name))
                most = std::max(most, fleet.size(now));
        }
        return most;
    }

private:
    Membership &find(const std::string &name)
    {
        return std::find_if(m_fleets.begin(), m_fleets.end(),
                            [&](const auto &item) { return item.first == name; })
            ->second;
    }

    void tell(const std::string &name, const Membership &from, Membership &to, Instant now) const
    {
        to.hear(news(name), now);
        to.heardDirectly(name, now);
        for (const InstanceStatus &item : from.newsToPass(now, m_turn))
            to.hear(item, now);
        for (const LivenessDigest &sign : from.signsToPass(now))
            to.hear(sign, now);
    }

    std::vector<std::pair<std::string, Membership>> m_fleets;
    std::uint64_t m_turn = 0;
};

} // namespace

TEST_CASE("fleet: an instance without news dies, and its own news passed on by others changes nothing")
{
    Membership fleet("me", "a");
    fleet.hear(news("other"), seconds(10));
    fleet.hear(news("me"), seconds(10));
    CHECK(fleet.isAlive("other", seconds(10) + Membership::DeadAfter));
    CHECK_FALSE(fleet.isAlive("other", seconds(10) + Membership::DeadAfter + milliseconds(1)));
    CHECK(fleet.size(seconds(10)) == 2);
}

TEST_CASE("fleet: late news doesn't bring back the dead")
{
    Membership fleet("me", "a");
    fleet.hear(news("other"), seconds(10));
    for (int i = 1; i <= 40; ++i)
        fleet.hear(news("other", milliseconds(100 * i)), seconds(10) + milliseconds(100 * i));
    CHECK_FALSE(fleet.isAlive("other", seconds(14)));
}

TEST_CASE("fleet: all find each other from one seed, and the loss of half shows in time")
{
    for (const int size : {2, 8, 88, 300}) {
        CAPTURE(size);
        FleetModel model(size);
        Instant now = seconds(1);
        for (int i = 0; i < 50; ++i, now += Membership::Period)
            model.round(now);
        CHECK(model.fewestSeen(now) == static_cast<std::size_t>(size));
        std::set<std::string> dead;
        for (int i = 0; i < size / 2; ++i)
            dead.insert("i" + std::to_string(i));
        const Instant lost = now;
        while (now < lost + DirectoryTime) {
            model.round(now, dead);
            now += Membership::Period;
            // Nobody who lives is taken for dead meanwhile.
            REQUIRE(model.fewestSeen(now, dead) >= static_cast<std::size_t>(size - size / 2));
        }
        CHECK(model.mostSeen(now, dead) == static_cast<std::size_t>(size - size / 2));
    }
}

TEST_CASE("fleet: all agree on the hub of an availability zone, and another takes over")
{
    Membership one("one", "a");
    Membership two("two", "a");
    one.hear({"two", 1, "a", "", "two", true, milliseconds(0)}, seconds(10));
    two.hear({"one", 1, "a", "", "one", true, milliseconds(0)}, seconds(10));
    const std::string hub = one.hubOf("a", seconds(10));
    CHECK(hub == two.hubOf("a", seconds(10)));
    CHECK(one.hubOf("a", seconds(20)) == "one");
    CHECK(two.hubOf("a", seconds(20)) == "two");
    CHECK(one.hubOf("b", seconds(10)).empty());
}

TEST_CASE("fleet: the hub is one of the strongest")
{
    CHECK(strengthOf(0.5, 200) == 10);
    CHECK(strengthOf(0.5, 10) == 1);
    CHECK(strengthOf(0.01, 1) == 1);
    Membership weak("weak", "a", 1);
    for (int i = 0; i < 8; ++i)
        weak.hear({"i" + std::to_string(i), 1, "a", "", "", true, milliseconds(0), i == 5 ? 4 : 2},
                  seconds(10));
    CHECK(weak.hubOf("a", seconds(10)) == "i5");
    Membership strong("strong", "a", 6);
    strong.hear({"i5", 1, "a", "", "", true, milliseconds(0), 4}, seconds(10));
    CHECK(strong.hubOf("a", seconds(10)) == "strong");
}

TEST_CASE("fleet: a directory answer names serving instances, and the strongest where there are too many")
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

TEST_CASE("freshness: ages on while nothing confirms, and never goes back")
{
    Freshness freshness;
    CHECK_FALSE(freshness.isWithin(seconds(5), seconds(1)));
    freshness.confirm(3, seconds(10));
    CHECK(freshness.isWithin(seconds(5), seconds(14)));
    // A process that was stopped finds its table too old, since the clock ran on.
    CHECK_FALSE(freshness.isWithin(seconds(5), seconds(15)));
    freshness.confirm(2, seconds(20));
    freshness.confirm(3, seconds(8));
    CHECK(*freshness.age(seconds(14)) == seconds(4));
}
