#include "scenes.h"
#include "statistics.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace {

namespace options = boost::program_options;
using namespace chestnutsill::bench;

double median(std::vector<double> values)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const std::size_t middle = values.size() / 2;
    return values.size() % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
}

/// Formats the median, followed by the range when there are several values.
std::string formatSpread(const std::vector<double> &values, int digits)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(digits) << median(values);
    if (values.size() > 1) {
        const auto [low, high] = std::minmax_element(values.begin(), values.end());
        text << " (" << *low << '-' << *high << ')';
    }
    return text.str();
}

/// Formats the spread of one measurement over the runs.
template<typename Value>
std::string summarize(const std::vector<SceneResult> &results, int digits, Value value)
{
    std::vector<double> values;
    for (const SceneResult &result : results)
        values.push_back(value(result));
    return formatSpread(values, digits);
}

void printSystem(const std::string &system, const std::vector<SceneResult> &results)
{
    for (const auto &[name, first] : results[0].outcomes) {
        const auto of = [&](auto member) {
            return summarize(results, 1, [&](const SceneResult &result) {
                const ClassOutcome &outcome = result.outcomes.at(name);
                return percent(outcome.*member, outcome.offered);
            });
        };
        std::cout << "| " << system << " | " << name << " | "
                  << summarize(results, 0,
                               [&](const SceneResult &r) { return double(r.outcomes.at(name).offered); })
                  << " | " << of(&ClassOutcome::attained) << " | " << of(&ClassOutcome::answered) << " | "
                  << of(&ClassOutcome::refused) << " | " << of(&ClassOutcome::failed) << " | "
                  << summarize(results, 0,
                               [&](const SceneResult &r) {
                                   return percentile(r.outcomes.at(name).firstTokenMs, 0.95);
                               })
                  << " |\n";
    }
}

void printTotals(const std::string &system, const std::vector<SceneResult> &results)
{
    std::cout << system << ": goodput "
              << summarize(results, 0, [](const SceneResult &r) { return r.goodput(); })
              << " tokens/s, wasted "
              << summarize(results, 2, [](const SceneResult &r) { return 100 * r.wastedShare(); })
              << " % of tokens, duplicate runs "
              << summarize(results, 0, [](const SceneResult &r) { return double(r.duplicateRuns); })
              << ", cold engines crashed "
              << summarize(results, 0, [](const SceneResult &r) { return double(r.coldStartCrashes); })
              << ", starts in the zone out of service "
              << summarize(results, 0,
                           [](const SceneResult &r) { return double(r.startsInZoneOutOfService); })
              << "\n\n";
}

void runAndPrint(const std::string &scene, const Deployment &deployment, int seeds, double seconds,
                 bool withBaseline)
{
    std::vector<SceneResult> own;
    std::vector<SceneResult> baseline;
    for (int seed = 1; seed <= seeds; ++seed) {
        own.push_back(runScene(scene, deployment, false, static_cast<std::uint64_t>(seed), seconds));
        if (withBaseline)
            baseline.push_back(runScene(scene, deployment, true, static_cast<std::uint64_t>(seed), seconds));
    }
    std::cout << "### " << deployment.name << ", " << scene << "\n\n"
              << "| system | class | offered | attained % | answered % | refused % | failed % | first token "
                 "p95 ms |\n"
              << "| --- | --- | --- | --- | --- | --- | --- | --- |\n";
    printSystem("chestnutsill", own);
    if (withBaseline)
        printSystem("baseline", baseline);
    std::cout << '\n';
    printTotals("chestnutsill", own);
    if (withBaseline)
        printTotals("baseline", baseline);
    std::cout << std::flush;
}

} // namespace

/// Runs scenes with real processes and prints the results as Markdown tables.
int main(int argc, char **argv)
{
    std::vector<std::string> scenes;
    std::string deployment = "both";
    int seeds = 3;
    double seconds = 20;
    bool noBaseline = false;
    options::options_description description("Measures scenes of load and faults with processes on loopback");
    auto add = description.add_options();
    add("help", "print this help");
    add("scene", options::value(&scenes)->multitoken(), "scenes to run (default all)");
    add("deployment", options::value(&deployment), "hamakaze, kimlong or both");
    add("seeds", options::value(&seeds), "runs of each scene");
    add("seconds", options::value(&seconds), "duration of the load in seconds");
    add("no-baseline", options::bool_switch(&noBaseline), "run without the baseline");
    try {
        options::variables_map map;
        options::store(options::parse_command_line(argc, argv, description), map);
        options::notify(map);
        if (map.count("help") > 0) {
            std::cout << description;
            return 0;
        }
        if (scenes.empty())
            scenes = sceneNames();
        for (const std::string &scene : scenes) {
            if (deployment != "kimlong")
                runAndPrint(scene, hamakaze(), seeds, seconds, !noBaseline);
            if (deployment != "hamakaze")
                runAndPrint(scene, kimlong(), seeds, seconds, !noBaseline);
        }
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "chestnutsill-bench: " << error.what() << '\n';
        return 2;
    }
}
