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

/// Median with the lowest and highest value when there are several.
std::string spread(const std::vector<double> &values, int digits)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(digits) << median(values);
    if (values.size() > 1) {
        const auto [low, high] = std::minmax_element(values.begin(), values.end());
        text << " (" << *low << '-' << *high << ')';
    }
    return text.str();
}

template<typename Value>
std::string spreadOf(const std::vector<SceneResult> &results, int digits, Value value)
{
    std::vector<double> values;
    for (const SceneResult &result : results)
        values.push_back(value(result));
    return spread(values, digits);
}

void printSystem(const std::string &system, const std::vector<SceneResult> &results)
{
    for (const auto &[name, first] : results[0].outcomes) {
        const auto of = [&](auto member) {
            return spreadOf(results, 1, [&](const SceneResult &result) {
                const ClassOutcome &outcome = result.outcomes.at(name);
                return percent(outcome.*member, outcome.offered);
            });
        };
        std::cout << "| " << system << " | " << name << " | "
                  << spreadOf(results, 0,
                              [&](const SceneResult &r) { return double(r.outcomes.at(name).offered); })
                  << " | " << of(&ClassOutcome::attained) << " | " << of(&ClassOutcome::answered) << " | "
                  << of(&ClassOutcome::refused) << " | " << of(&ClassOutcome::failed) << " | "
                  << spreadOf(results, 0,
                              [&](const SceneResult &r) {
                                  return percentile(r.outcomes.at(name).firstTokenMs, 0.95);
                              })
                  << " |\n";
    }
}

void printTotals(const std::string &system, const std::vector<SceneResult> &results)
{
    std::cout << system << ": goodput "
              << spreadOf(results, 0, [](const SceneResult &r) { return r.goodput(); })
              << " tokens/s, wasted "
              << spreadOf(results, 2, [](const SceneResult &r) { return 100 * r.wastedShare(); })
              << " % of tokens, doubled runs "
              << spreadOf(results, 0, [](const SceneResult &r) { return double(r.doubledRuns); })
              << ", cold engines fallen "
              << spreadOf(results, 0, [](const SceneResult &r) { return double(r.coldOverloads); })
              << ", starts in the zone while out "
              << spreadOf(results, 0, [](const SceneResult &r) { return double(r.startsInOutZone); })
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

/// Runs scenes with real processes and prints tables in Markdown.
int main(int argc, char **argv)
{
    std::vector<std::string> scenes;
    std::string deployment = "both";
    int seeds = 3;
    double seconds = 20;
    bool noBaseline = false;
    options::options_description description(
        "Measures scenes of load and faults; load goes to loopback only");
    auto add = description.add_options();
    add("help", "print this help");
    add("scene", options::value(&scenes)->multitoken(), "scenes to run (default all)");
    add("deployment", options::value(&deployment), "hamakaze, kimlong or both");
    add("seeds", options::value(&seeds), "runs of each scene");
    add("seconds", options::value(&seconds), "length of the load");
    add("no-baseline", options::bool_switch(&noBaseline), "leave the baseline out");
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
