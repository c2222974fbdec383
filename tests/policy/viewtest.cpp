#include "chestnutsill/policy/activeconfiguration.h"
#include "chestnutsill/policy/crashhistory.h"
#include "chestnutsill/policy/poolhome.h"
#include "chestnutsill/policy/retrybudget.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

using namespace chestnutsill;

namespace {

Configuration version(std::uint64_t number)
{
    Configuration configuration;
    configuration.version = number;
    return configuration;
}

std::vector<Member> makeMembers(int count)
{
    std::vector<Member> members;
    for (int i = 0; i < count; ++i)
        members.push_back({"entry-" + std::to_string(i), "z", {}, {}, false});
    return members;
}

} // namespace

TEST_CASE("active configuration: the version only increases, for any order of documents")
{
    const bool held = rc::check("the version never decreases", [](const std::vector<std::uint8_t> &order) {
        ActiveConfiguration active;
        std::uint64_t highest = 0;
        for (const std::uint64_t number : order) {
            const bool accepted = active.accept(version(number), std::to_string(number));
            RC_ASSERT(accepted == (number > highest));
            highest = std::max(highest, number);
            RC_ASSERT(active.version() == highest);
        }
    });
    CHECK(held);
}

TEST_CASE("active configuration: states in which new requests may rely on it")
{
    ActiveConfiguration active;
    active.confirm(0, seconds(10));
    CHECK(active.state(seconds(10)) == ConfigurationState::Starting);
    active.accept(version(1), {});
    active.confirm(1, seconds(10));
    CHECK(active.state(seconds(10)) == ConfigurationState::Starting);
    active.recordPeersQueried();
    CHECK(active.state(seconds(10)) == ConfigurationState::Current);
    CHECK(active.state(seconds(10) + ActiveConfiguration::MaxAge) == ConfigurationState::Current);
    CHECK(active.state(seconds(11) + ActiveConfiguration::MaxAge) == ConfigurationState::Stale);
    active.confirm(2, seconds(20));
    CHECK(active.state(seconds(20)) == ConfigurationState::Stale);
    active.accept(version(2), {});
    CHECK(active.state(seconds(20)) == ConfigurationState::Current);
}

TEST_CASE("pool homes: spread over members, and move only when their member leaves")
{
    auto members = makeMembers(8);
    std::map<std::string, int> counts;
    std::map<std::string, std::string> before;
    for (int i = 0; i < 800; ++i) {
        const std::string pool = "model/" + std::to_string(i);
        before[pool] = homeOf(pool, members)->name;
        ++counts[before[pool]];
    }
    for (const auto &[name, count] : counts)
        CHECK(count > 50);
    members[3].leaving = true;
    for (const auto &[pool, home] : before) {
        const std::string now = homeOf(pool, members)->name;
        CHECK((home == "entry-3" ? now != home : now == home));
    }
    CHECK(homeOf("model/1", {}) == nullptr);
}

TEST_CASE("pool homes: a term may grant after the takeover wait, and restarts after a pause or a change")
{
    HomeTerm term;
    Instant time = seconds(50);
    const auto runFor = [&](Instant span) {
        for (const Instant end = time + span; time < end; time += milliseconds(100))
            updateTerm(term, true, time);
    };
    runFor(TakeoverWait);
    CHECK_FALSE(mayGrant(term, time - milliseconds(100)));
    runFor(milliseconds(200));
    CHECK(mayGrant(term, time - milliseconds(100)));
    // After a pause it must not grant even before the next tick.
    time += seconds(5);
    CHECK_FALSE(mayGrant(term, time));
    updateTerm(term, true, time);
    CHECK_FALSE(mayGrant(term, time));
    runFor(TakeoverWait + milliseconds(200));
    CHECK(mayGrant(term, time - milliseconds(100)));
    updateTerm(term, false, time);
    updateTerm(term, true, time);
    CHECK_FALSE(mayGrant(term, time));
}

TEST_CASE("crash history: each crash counts once, completion clears, memory is bounded")
{
    CrashHistory history;
    const std::uint64_t running[] = {1, 2};
    const std::uint64_t more[] = {1, 3};
    history.recordCrash("u", "first", running, seconds(1));
    history.recordCrash("u", "first", running, seconds(1));
    history.recordCrash("u", "first", more, seconds(1));
    CHECK(history.strikes(1, seconds(2)) == 1);
    CHECK(history.strikes(3, seconds(2)) == 1);
    history.recordCrash("u", "second", running, seconds(2));
    CHECK(history.strikes(1, seconds(2)) == 2);
    history.clear(2);
    CHECK(history.strikes(2, seconds(2)) == 0);
    CHECK(history.strikes(1, seconds(2)) == 2);
    CHECK(history.strikes(1, seconds(3) + CrashHistory::Retention) == 0);
    CHECK(history.size() == 0);
    for (std::size_t i = 0; i < 3 * CrashHistory::MaxCrashes; ++i) {
        const std::uint64_t fingerprint[] = {i + 10};
        history.recordCrash("u", std::to_string(i), fingerprint, seconds(700));
    }
    CHECK(history.size() <= CrashHistory::MaxCrashes);
    CHECK(fingerprintOf("a", "body") != fingerprintOf("b", "body"));
}

TEST_CASE("retry budget: in the long run retries stay at a tenth of requests")
{
    RetryBudget budget;
    int retries = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.recordRequest();
        while (budget.tryAcquire())
            ++retries;
    }
    CHECK(retries <= 100 + static_cast<int>(RetryBudget::MaxRetries));
    CHECK(retries >= 90);
}
