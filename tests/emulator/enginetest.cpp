#include "engine.h"

#include <doctest/doctest.h>

#include <map>

using namespace chestnutsill;
using namespace chestnutsill::emulator;

namespace {

constexpr EngineShape Shape{.slots = 2,
                            .memoryTokens = 10000,
                            .stepMs = 2,
                            .stepPerRunningMs = 1,
                            .stepPerThousandTokensMs = 0,
                            .readTokensPerMs = 100,
                            .readMsPerMillionPairs = 0,
                            .firstMs = 0,
                            .chunkTokens = 1000,
                            .tokensPerEvent = 2};

EngineRequest request(std::uint64_t id, std::vector<PromptPart> parts, int output, int rank = 0)
{
    EngineRequest made{id, {std::move(parts), 0, 0}, output, rank};
    for (const PromptPart &part : made.prompt.parts)
        made.prompt.tokens += part.tokens;
    return made;
}

/// Runs an engine until it is idle and returns when each request's first event and its end came.
struct Times
{
    std::map<std::uint64_t, double> first;
    std::map<std::uint64_t, double> done;
};

Times runUntilIdle(Engine &engine)
{
    Times times;
    double ms = 0;
    while (engine.isBusy()) {
        ms += engine.begin();
        for (const EngineEvent &event : engine.end()) {
            times.first.try_emplace(event.request, ms);
            if (event.done)
                times.done[event.request] = ms;
        }
    }
    return times;
}

} // namespace

TEST_CASE("a prompt is read in chunks, then each step makes a token")
{
    Engine engine(Shape, 1);
    engine.add(request(1, {{7, 1500}}, 4));
    const Times times = runUntilIdle(engine);
    // Two steps of 3 ms read 1,500 tokens in 15 ms, the second makes the first token.
    CHECK(times.first.at(1) == doctest::Approx(6 + 15 + 3));
    CHECK(times.done.at(1) == doctest::Approx(6 + 15 + 9));
    CHECK(engine.tokensRead() == doctest::Approx(1500));
}

TEST_CASE("an engine of twice the speed takes half the time")
{
    Engine engine(Shape, 2);
    engine.add(request(1, {{7, 1500}}, 4));
    CHECK(runUntilIdle(engine).done.at(1) == doctest::Approx((6 + 15 + 9) / 2.0));
}

TEST_CASE("a shared part that was read before isn't read again until it has yielded")
{
    Engine engine(Shape, 1);
    engine.add(request(1, {{1, 800}, {2, 100}}, 2));
    (void)runUntilIdle(engine);
    engine.add(request(2, {{1, 800}, {3, 100}}, 2));
    (void)runUntilIdle(engine);
    CHECK(engine.tokensRead() == doctest::Approx(1000));
    CHECK(engine.sharedTokensRead() == doctest::Approx(800));
    // Fills the memory, so that the least recently used parts yield.
    engine.add(request(3, {{4, 9800}}, 2));
    (void)runUntilIdle(engine);
    engine.add(request(4, {{1, 800}, {5, 100}}, 2));
    (void)runUntilIdle(engine);
    CHECK(engine.sharedTokensRead() == doctest::Approx(1600));
}

TEST_CASE("the more urgent request is admitted first, and no more run than there are slots")
{
    Engine engine(Shape, 1);
    engine.add(request(1, {{1, 10}}, 10, 1));
    engine.add(request(2, {{2, 10}}, 10, 1));
    engine.add(request(3, {{3, 10}}, 10, 1));
    engine.add(request(4, {{4, 10}}, 10, 0));
    const Times times = runUntilIdle(engine);
    CHECK(times.first.at(4) < times.first.at(2));
    CHECK(times.first.at(2) >= times.done.at(1));
    CHECK(times.first.at(3) >= times.done.at(4));
}

TEST_CASE("without memory the newest of the least urgent is put back and still ends")
{
    Engine engine(Shape, 1);
    engine.add(request(1, {{1, 4990}}, 200, 0));
    engine.add(request(2, {{2, 4990}}, 200, 1));
    const Times times = runUntilIdle(engine);
    CHECK(engine.preempted() >= 1);
    CHECK(times.done.at(1) < times.done.at(2));
}

TEST_CASE("a canceled request makes nothing more")
{
    Engine engine(Shape, 1);
    engine.add(request(1, {{1, 100}}, 50));
    (void)engine.begin();
    (void)engine.end();
    engine.cancel(1);
    const Times times = runUntilIdle(engine);
    CHECK(times.done.empty());
}
