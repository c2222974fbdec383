#include "chestnutsill/policy/deduplicationtable.h"
#include "chestnutsill/policy/requestid.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

using namespace chestnutsill;

namespace {

constexpr Instant Expiry = seconds(60);

Answer answered(const std::string &body)
{
    Answer answer;
    answer.status = 200;
    answer.verdict = Verdict::Answered;
    answer.body = body;
    return answer;
}

} // namespace

TEST_CASE("deduplication table: result of a claim in each state of an id")
{
    struct Case
    {
        const char *name;
        bool claimedBefore;
        bool finishedBefore;
        Instant at;
        Claim expected;
    };
    const Case cases[] = {
        {"new id", false, false, seconds(1), Claim::Run},
        {"resent while running", true, false, seconds(2), Claim::Join},
        {"resent after the answer", true, true, seconds(2), Claim::Replay},
        {"first copy arrives after the lifetime", false, false, seconds(60), Claim::Expired},
        {"resent during a run that outlasts the lifetime", true, false, seconds(70), Claim::Join},
        {"resent after the outcome was removed", true, true, seconds(70), Claim::Expired},
    };
    for (const Case &item : cases) {
        CAPTURE(item.name);
        DeduplicationTable table(8, 1024);
        if (item.claimedBefore)
            REQUIRE(table.claim("id", Expiry, seconds(1)) == Claim::Run);
        if (item.finishedBefore)
            table.finish("id", answered("yes"));
        CHECK(table.claim("id", Expiry, item.at) == item.expected);
    }
}

TEST_CASE("deduplication table: a refused id never runs later, even when a delayed copy arrives")
{
    DeduplicationTable table(8, 1024);
    REQUIRE(table.claim("id", Expiry, seconds(1)) == Claim::Run);
    table.finish("id", refusal(503, Verdict::NotRun, "would-be-late", "capacity", "late"));
    CHECK(table.claim("id", Expiry, seconds(5)) == Claim::Replay);
    REQUIRE(table.outcome("id") != nullptr);
    CHECK((table.outcome("id")->verdict == Verdict::NotRun));
}

TEST_CASE("deduplication table: an answer too large to keep is not reported as not run")
{
    DeduplicationTable table(8, 10);
    REQUIRE(table.claim("id", Expiry, seconds(1)) == Claim::Run);
    table.finish("id", answered("longer than ten bytes"));
    CHECK((table.outcome("id")->verdict == Verdict::MayHaveRun));
}

TEST_CASE("deduplication table: a full table refuses new ids and keeps the old ones")
{
    DeduplicationTable table(2, 1024);
    CHECK(table.claim("a", Expiry, seconds(1)) == Claim::Run);
    CHECK(table.claim("b", Expiry, seconds(1)) == Claim::Run);
    CHECK(table.claim("c", Expiry, seconds(1)) == Claim::Full);
    CHECK(table.claim("a", Expiry, seconds(1)) == Claim::Join);
}

TEST_CASE("deduplication table: no id runs twice under any sequence of resends, completions and pauses")
{
    const bool held = rc::check("at most one run per id", [] {
        DeduplicationTable table(16, 4096);
        std::map<int, int> runs;
        Instant time = seconds(0);
        const int steps = *rc::gen::inRange(1, 200);
        for (int step = 0; step < steps; ++step) {
            time += milliseconds(*rc::gen::inRange(0, 20'000));
            const int number = *rc::gen::inRange(0, 6);
            const std::string id = std::to_string(number);
            const Instant expiry = seconds(60 + 60 * number);
            if (*rc::gen::inRange(0, 3) == 0) {
                table.finish(id, answered(id));
                continue;
            }
            const Claim claim = table.claim(id, expiry, time);
            if (claim == Claim::Run)
                RC_ASSERT(++runs[number] == 1);
            if (claim == Claim::Replay)
                RC_ASSERT(table.outcome(id)->body == id);
        }
    });
    CHECK(held);
}

TEST_CASE("request id: the text form is parsed back, and errors name the malformed part")
{
    std::string reason;
    const std::string text = requestIdPrefix("entry-1", 0xabcULL, seconds(7)) + "nonce-12345";
    const auto id = parseRequestId(text, reason);
    REQUIRE(id);
    CHECK(id->owner == "entry-1");
    CHECK(id->incarnation == 0xabcULL);
    CHECK(toString(*id) == text);
    CHECK(expiryOf(*id) == seconds(67));
    const std::map<std::string, std::string> malformed{
        {"", "four parts"},
        {"a.b.c", "four parts"},
        {"bad owner.0000000000000abc.1.nonce-12345", "owner"},
        {"entry-1.abc.1.nonce-12345", "incarnation"},
        {"entry-1.0000000000000abc.x.nonce-12345", "epoch"},
        {"entry-1.0000000000000abc.99999999999999999.nonce-12345", "epoch"},
        {"entry-1.0000000000000abc.1.short", "nonce"},
        {"entry-1.0000000000000abc.1.nonce.with.dots", "nonce"},
    };
    for (const auto &[bad, part] : malformed) {
        CAPTURE(bad);
        CHECK_FALSE(parseRequestId(bad, reason));
        CHECK(reason.find(part) != std::string::npos);
    }
}
