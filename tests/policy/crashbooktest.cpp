#include "chestnutsill/policy/crashtracker.h"

#include <doctest/doctest.h>

using namespace chestnutsill;

namespace {

constexpr std::uint64_t Killer = 666;
constexpr std::uint64_t Innocent = 7;

/// One run of both requests at an upstream that crashes.
void crash(CrashTracker &book, const std::string &upstream, Instant now)
{
    book.begin(upstream, Killer);
    book.begin(upstream, Innocent);
    book.end(upstream, Killer, true, now);
    CHECK(book.crashed(upstream, "1", now + milliseconds(100)) == 2);
    book.end(upstream, Innocent, true, now + milliseconds(200));
}

} // namespace

TEST_CASE("crash book: three crashes stop a request, whichever instance saw them")
{
    CrashTracker one;
    CrashTracker two;
    crash(one, "u1", seconds(10));
    crash(one, "u2", seconds(11));
    crash(two, "u3", seconds(12));
    for (const CrashNotice &news : two.news())
        one.hear(news, seconds(13), false);
    for (const CrashNotice &news : one.news())
        two.hear(news, seconds(13), false);
    CHECK(one.strikes(Killer, seconds(13)) == CrashTracker::MostStrikes);
    CHECK(two.strikes(Killer, seconds(13)) == CrashTracker::MostStrikes);
}

TEST_CASE("crash book: a crash counts once, however often it is told")
{
    CrashTracker one;
    crash(one, "u1", seconds(10));
    CrashTracker two;
    for (int i = 0; i < CrashTracker::TransmitCount; ++i) {
        const auto news = one.news();
        REQUIRE(news.size() == 1);
        two.hear(news[0], seconds(11), false);
    }
    CHECK(one.news().empty());
    CHECK(two.strikes(Killer, seconds(11)) == 1);
}

TEST_CASE("crash book: a request that completes is cleared everywhere")
{
    CrashTracker one;
    crash(one, "u1", seconds(10));
    CHECK(one.completed(Innocent));
    CHECK_FALSE(one.completed(Innocent));
    CHECK(one.strikes(Innocent, seconds(11)) == 0);
    CHECK(one.strikes(Killer, seconds(11)) == 1);
    CHECK(one.clearedNews() == std::vector<std::uint64_t>{Innocent});
}

TEST_CASE("crash book: a connection that broke long before the crash is not blamed")
{
    CrashTracker book;
    book.begin("u1", Innocent);
    book.end("u1", Innocent, true, seconds(10));
    CHECK(book.crashed("u1", "1", seconds(10) + CrashTracker::ProofTime + milliseconds(1)) == 0);
    CHECK(book.strikes(Innocent, seconds(12)) == 0);
}

TEST_CASE("crash book: a hub tells on what it hears, once")
{
    CrashTracker seen;
    crash(seen, "u1", seconds(10));
    CrashTracker hub;
    const auto news = seen.news();
    hub.hear(news.at(0), seconds(11), true);
    hub.hear(news.at(0), seconds(11), true);
    CHECK(hub.news().size() == 1);
    hub.hearCleared(Innocent, true);
    hub.hearCleared(Innocent, true);
    CHECK(hub.clearedNews().size() == 1);
}
