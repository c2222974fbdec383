#include "simulation.h"
#include "statistics.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace {

namespace options = boost::program_options;
using namespace chestnutsill;
using namespace chestnutsill::emulator;
using bench::percent;
using bench::percentile;

constexpr int BadUsage = 2;

/// Adds up the results of several seeds.
Result sum(const std::vector<Result> &results)
{
    Result total = results.front();
    for (std::size_t i = 1; i < results.size(); ++i) {
        total.tokensPrefilled += results[i].tokensPrefilled;
        total.sharedTokensRecomputed += results[i].sharedTokensRecomputed;
        total.fetched += results[i].fetched;
        total.preempted += results[i].preempted;
        for (std::size_t c = 0; c < total.classes.size(); ++c) {
            ClassResult &into = total.classes[c];
            const ClassResult &from = results[i].classes[c];
            into.offered += from.offered;
            into.onTime += from.onTime;
            into.late += from.late;
            into.attainable += from.attainable;
            into.earned += from.earned;
            into.firstMs.insert(into.firstMs.end(), from.firstMs.begin(), from.firstMs.end());
        }
    }
    return total;
}

void print(const std::string &policy, const std::vector<Result> &results)
{
    constexpr double Million = 1e6;
    const Result total = sum(results);
    double lowest = 1;
    double highest = 0;
    for (const Result &result : results) {
        lowest = std::min(lowest, result.worth());
        highest = std::max(highest, result.worth());
    }
    std::cout << std::fixed << std::setprecision(3) << "| " << policy << " | all | " << total.worth() << " ("
              << lowest << "-" << highest << ") | | | | | " << std::setprecision(2)
              << total.tokensPrefilled / Million << " | " << total.sharedTokensRecomputed / Million << " | "
              << total.fetched / Million << " | " << total.preempted << " |\n";
    for (const ClassResult &each : total.classes) {
        const auto offered = static_cast<std::int64_t>(each.offered);
        const auto onTime = static_cast<std::int64_t>(each.onTime);
        const auto late = static_cast<std::int64_t>(each.late);
        std::cout << "| " << policy << " | " << each.name << " | " << std::setprecision(3)
                  << (each.attainable > 0 ? each.earned / each.attainable : 0) << " | "
                  << std::setprecision(1) << percent(onTime, offered) << " | " << percent(late, offered)
                  << " | " << percent(offered - onTime - late, offered) << " | " << std::setprecision(0)
                  << percentile(each.firstMs, 0.5) << ", " << percentile(each.firstMs, 0.95)
                  << " | | | | |\n";
    }
}

std::optional<Scenario> readScenario(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    if (!file) {
        std::cerr << "cannot read " << path << '\n';
        return std::nullopt;
    }
    ValidationErrors errors;
    auto scenario = parseScenario(text.str(), errors);
    for (const ValidationError &error : errors)
        std::cerr << path << ": " << error.path << ' ' << error.message << '\n';
    return scenario;
}

int run(const options::variables_map &values)
{
    const auto scenario = readScenario(values["scenario"].as<std::string>());
    if (!scenario)
        return BadUsage;
    std::cout << "| policy | class | worth | on time % | late % | failed % | first event ms, median and 95th "
                 "percentile | Mtokens prefilled | of these, recomputed shared parts | Mtokens fetched | "
                 "preempted |\n"
                 "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for (const auto &name : values["policy"].as<std::vector<std::string>>()) {
        const auto policy = policyOf(name);
        if (!policy) {
            std::cerr << "--policy: " << name << " is not a known policy\n";
            return BadUsage;
        }
        std::vector<Result> results;
        for (int seed = 1; seed <= std::max(values["seeds"].as<int>(), 1); ++seed)
            results.push_back(simulate(*scenario, *policy, static_cast<std::uint64_t>(seed)));
        print(name, results);
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    options::options_description description("chestnutsill-emulate SCENARIO");
    description.add_options()("help", "show this text")("scenario", options::value<std::string>(),
                                                        "JSON file with the deployment and its load")(
        "policy", options::value<std::vector<std::string>>()->default_value(policyNames(), "all"),
        "policy to simulate; can be given several times")("seeds", options::value<int>()->default_value(1),
                                                          "number of seeds to simulate");
    options::positional_options_description positional;
    positional.add("scenario", 1);
    options::variables_map values;
    try {
        options::store(
            options::command_line_parser(argc, argv).options(description).positional(positional).run(),
            values);
        options::notify(values);
    } catch (const options::error &error) {
        std::cerr << error.what() << '\n';
        return BadUsage;
    }
    if (values.contains("help") || !values.contains("scenario")) {
        std::cout << description;
        return values.contains("help") ? 0 : BadUsage;
    }
    return run(values);
}
