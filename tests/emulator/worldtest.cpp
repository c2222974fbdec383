#include "world.h"
#include "scenario.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace chestnutsill;
using namespace chestnutsill::emulator;

namespace {

std::string textOf(const std::string &name)
{
    std::ifstream file(std::string(CHESTNUTSILL_SCENARIOS) + "/" + name);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

Scenario scenarioOf(const std::string &name)
{
    ValidationErrors faults;
    auto scenario = parseScenario(textOf(name), faults);
    REQUIRE(faults.empty());
    return *scenario;
}

double meanWorth(const Scenario &scenario, std::string_view policy)
{
    constexpr std::uint64_t Seeds = 3;
    double sum = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed)
        sum += play(scenario, *policyOf(policy), seed).worth();
    return sum / Seeds;
}

} // namespace

TEST_CASE("a wrong scenario is refused with the name of each field")
{
    ValidationErrors faults;
    std::string text = textOf("small.json");
    text.replace(text.find("\"engines\": 9"), 12, "\"engines\": 0, \"color\": 1");
    CHECK_FALSE(parseScenario(text, faults));
    const auto names = [&](const std::string &path) {
        return std::any_of(faults.begin(), faults.end(),
                           [&](const ValidationError &fault) { return fault.path == path; });
    };
    CHECK(names("engines"));
    CHECK(names("color"));
}

TEST_CASE("a burst of a class that doesn't exist is refused")
{
    ValidationErrors faults;
    std::string text = textOf("small.json");
    text.replace(text.find("{\"class\": \"plan\""), 16, "{\"class\": \"none\"");
    CHECK_FALSE(parseScenario(text, faults));
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].path == "bursts[0].class");
}

TEST_CASE("the same seed plays the same, whatever was played before")
{
    const Scenario scenario = scenarioOf("small.json");
    const Result first = play(scenario, *policyOf("place"), 5);
    const Result second = play(scenario, *policyOf("place"), 5);
    CHECK(first.worth() == second.worth());
    CHECK(first.tokensRead == second.tokensRead);
    // Arrivals don't depend on the policy.
    CHECK(play(scenario, *policyOf("least"), 5).classes[0].offered == first.classes[0].offered);
}

TEST_CASE("each request that was offered is counted once")
{
    const Result result = play(scenarioOf("small.json"), *policyOf("least"), 2);
    for (const ClassResult &each : result.classes) {
        CHECK(each.offered > 0);
        CHECK(each.onTime + each.late <= each.offered);
        CHECK(each.earned <= each.owed);
    }
}

TEST_CASE("in a burst of long prompts, placing serves better than few requests or shared parts alone")
{
    const Scenario scenario = scenarioOf("small.json");
    const double placed = meanWorth(scenario, "place");
    CHECK(placed > meanWorth(scenario, "least"));
    CHECK(placed > meanWorth(scenario, "hash"));
}

TEST_CASE("engines that fetch from each other read less again, and serve better in a burst")
{
    const Scenario scenario = scenarioOf("small.json");
    const Result fetching = play(scenario, *policyOf("place"), 1);
    const Result staying = play(scenario, *policyOf("stay"), 1);
    CHECK(fetching.fetched > 0);
    CHECK(staying.fetched == 0);
    CHECK(fetching.sharedReadAgain < staying.sharedReadAgain);
    CHECK(meanWorth(scenario, "place") > meanWorth(scenario, "stay"));
}
