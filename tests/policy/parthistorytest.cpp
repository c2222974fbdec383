#include "chestnutsill/policy/parthistory.h"

#include <doctest/doctest.h>

#include <numeric>

using namespace chestnutsill;

namespace {

/// Parts that are numbered from `first` on.
std::vector<std::uint64_t> numbered(std::uint64_t first, std::size_t count)
{
    std::vector<std::uint64_t> parts(count);
    std::iota(parts.begin(), parts.end(), first);
    return parts;
}

std::vector<std::uint64_t> partsOf(const std::vector<SuspectPart> &suspects)
{
    std::vector<std::uint64_t> parts;
    for (const SuspectPart &suspect : suspects)
        parts.push_back(suspect.part);
    return parts;
}

} // namespace

TEST_CASE("part history: parts that were served are suspected last, wherever they stand")
{
    constexpr std::uint64_t Crashing = 999;
    for (const std::size_t position : {0, 5, 100, 200}) {
        CAPTURE(position);
        PartHistory history;
        std::vector<std::uint64_t> prompt = numbered(1, 200);
        history.recordServed(prompt, seconds(1));
        prompt.insert(prompt.begin() + static_cast<std::ptrdiff_t>(position), Crashing);
        history.recordBroken(prompt, seconds(2));
        const auto suspects = history.suspects(prompt, 4);
        REQUIRE(suspects.size() == 4);
        CHECK(suspects[0].part == Crashing);
        CHECK(suspects[0].following == 200 - position);
    }
}

TEST_CASE("part history: a part that breaks again and again is suspected before those that broke once")
{
    constexpr std::uint64_t Crashing = 999;
    PartHistory history;
    std::vector<std::uint64_t> prompt;
    for (int failure = 0; failure < 2; ++failure) {
        prompt = numbered(1000 * static_cast<std::uint64_t>(failure + 1), 100);
        prompt.insert(prompt.begin() + 50, Crashing);
        history.recordBroken(prompt, seconds(failure));
    }
    CHECK(history.suspects(prompt, 4).front().part == Crashing);
}

TEST_CASE("part history: a part that was served before it began to crash is suspected")
{
    constexpr std::uint64_t Crashing = 999;
    PartHistory history;
    const std::vector<std::uint64_t> common = numbered(1, 200);
    std::vector<std::uint64_t> prompt = common;
    prompt.push_back(Crashing);
    history.recordServed(prompt, seconds(1));
    history.recordServed(common, seconds(2));
    history.recordBroken(prompt, seconds(3));
    CHECK(history.suspects(prompt, 4).front().part == Crashing);
}

TEST_CASE("part history: connections that break together count once")
{
    constexpr std::uint64_t Crashing = 999;
    PartHistory history;
    history.recordBroken({{Crashing, 1}}, seconds(1));
    history.recordServed({{1, 2}}, seconds(2));
    for (int i = 0; i < 10; ++i)
        history.recordBroken({{1, 2}}, seconds(3));
    history.recordBroken({{1, 2, Crashing}}, seconds(3));
    CHECK(history.suspects({{1, 2, Crashing}}, 1).front().part == Crashing);
}

TEST_CASE("part history: of parts that can't be told apart the first and the last ones are selected")
{
    const PartHistory history;
    const std::vector<std::uint64_t> prompt = numbered(1, 300);
    const auto suspects = history.suspects(prompt, 5);
    CHECK(partsOf(suspects) == std::vector<std::uint64_t>{1, 2, 3, 299, 300});
    CHECK(suspects.front().following == 255);
    CHECK(suspects.back().following == 0);
    CHECK(partsOf(history.suspects(numbered(1, 3), 5)) == numbered(1, 3));
    CHECK(history.suspects({}, 5).empty());
}

TEST_CASE("part history: the number of parts is bounded, and parts in use are kept")
{
    PartHistory history;
    const std::vector<std::uint64_t> used = numbered(1, 10);
    for (std::uint64_t i = 0; i < 100; ++i) {
        history.recordServed(used, seconds(static_cast<int>(i)));
        history.recordServed(numbered(1000 + 1000 * i, 1000), seconds(static_cast<int>(i)));
        CHECK(history.size() <= PartHistory::MaxParts);
    }
    std::vector<std::uint64_t> prompt = used;
    prompt.push_back(999);
    CHECK(history.suspects(prompt, 1).front().part == 999);
}
