#include "checks.h"
#include "faultinjector.h"
#include "loadgenerator.h"
#include "plannedstops.h"

#include <boost/program_options.hpp>

#include <iostream>
#include <random>
#include <thread>

namespace {

namespace options = boost::program_options;
using namespace chestnutsill;

/// Runs a site of real processes under load while overlapping faults are injected, both as the seed
/// determines, then checks the guarantees to callers. Returns the violations found.
std::vector<std::string> runSeed(std::uint64_t seed, int seconds, int instances, int upstreams)
{
    support::Site site("soak-" + std::to_string(seed));
    for (int i = 0; i < upstreams; ++i)
        site.addUpstream((i % 2 == 0 ? "desk-" : "chat-") + std::to_string(i), i % 2 == 0 ? "desk" : "chat",
                         i % 4 < 2 ? "a" : "b", true);
    for (int i = 1; i < upstreams; i += 2)
        site.setSoftwareVersion(site.upstreamAt(static_cast<std::size_t>(i)), i % 4 == 1 ? "v1" : "v2");
    site.start(instances, static_cast<int>(soak::MaxKeyConfirmationAge.count()));
    if (!site.waitReady())
        return {"the site did not become ready"};
    soak::History history;
    soak::LoadGenerator load(site, history, seed);
    soak::FaultInjector faults(site, history, seed);
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    while (std::chrono::steady_clock::now() < end)
        faults.step();
    faults.endAll();
    auto violations = soak::checkRecovery(site);
    load.stop();
    const auto found = soak::check(site, history);
    violations.insert(violations.end(), found.begin(), found.end());
    std::cout << "seed " << seed << ": " << history.summary() << '\n';
    return violations;
}

} // namespace

/// Usage: chestnutsill-soak [--seed N] [--count N] [--seconds N] [--instances N] [--upstreams N]
/// [--planned-stops]
int main(int argc, char **argv)
{
    std::uint64_t seed = 1;
    int count = 1;
    int seconds = 12;
    int instances = 4;
    int upstreams = 6;
    bool plannedStops = false;
    options::options_description description("Randomized soak of real processes");
    auto add = description.add_options();
    add("seed", options::value(&seed), "first seed");
    add("count", options::value(&count), "number of seeds, one after the other");
    add("seconds", options::value(&seconds), "duration of fault injection per seed");
    add("instances", options::value(&instances), "instances");
    add("upstreams", options::value(&upstreams), "upstreams, half of them engines");
    add("planned-stops", options::bool_switch(&plannedStops),
        "stop instances in turn beside silent upstreams, in place of random faults");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    } catch (const options::error &error) {
        std::cerr << "chestnutsill-soak: " << error.what() << '\n' << description;
        return 2;
    }
    int failed = 0;
    for (int i = 0; i < count; ++i) {
        const auto run = plannedStops ? soak::runPlannedStops : runSeed;
        const auto violations = run(seed + static_cast<std::uint64_t>(i), seconds, instances, upstreams);
        for (const std::string &violation : violations)
            std::cout << "seed " << seed + static_cast<std::uint64_t>(i) << " BROKEN: " << violation << '\n';
        failed += violations.empty() ? 0 : 1;
    }
    std::cout << count - failed << " passed, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}
