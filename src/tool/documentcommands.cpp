#include "chestnutsill/config/document.h"
#include "chestnutsill/config/questionnaire.h"
#include "commands.h"

#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace chestnutsill::tool {

namespace {

int printFaults(const ValidationErrors &faults)
{
    for (const ValidationError &fault : faults)
        std::cerr << fault.path << ": " << fault.message << '\n';
    return ExitFailed;
}

std::string askLine(std::string_view question)
{
    std::cerr << question << ": ";
    std::string line;
    std::getline(std::cin, line);
    return line;
}

/// The newest configuration in force at the instances.
Configuration newestInForce(const std::vector<std::string> &instances)
{
    std::optional<Configuration> newest;
    for (const std::string &instance : instances) {
        ValidationErrors faults;
        auto configuration = parseConfiguration(readPage(instance, "/configuration"), faults);
        if (!configuration)
            std::cerr << instance << ": no configuration could be read\n";
        else if (!newest || configuration->version > newest->version)
            newest = std::move(configuration);
    }
    if (!newest)
        throw UsageError("--instances: no instance could tell which configuration is in force");
    return *newest;
}

std::optional<Configuration> readBase(const Words &words, ValidationErrors &faults)
{
    auto inForce = newestInForce(words.instances);
    if (words.base.empty())
        return inForce;
    auto base = parseConfiguration(readFile(words.base), faults);
    if (base && base->version < inForce.version) {
        faults.push_back({"version", "the base is version " + std::to_string(base->version) + ", but version "
                                         + std::to_string(inForce.version) + " is in force"});
        return std::nullopt;
    }
    return base;
}

/// The configuration in the one file that the command line names.
std::optional<Configuration> readNamedDocument(const Words &words, ValidationErrors &faults)
{
    if (words.positional.size() != 2)
        throw UsageError("name one configuration file");
    return parseConfiguration(readFile(words.positional[1]), faults);
}

std::uint64_t tokensSoFar(const std::vector<std::string> &pages, const std::string &requestClass)
{
    std::uint64_t tokens = 0;
    for (const std::string &page : pages) {
        for (const char *metric : {"chestnutsill_tokens_in_total", "chestnutsill_tokens_out_total"}) {
            const std::string key = std::string(metric) + "{class=\"" + requestClass + "\"} ";
            const auto at = page.find(key);
            if (at != std::string::npos)
                tokens += std::strtoull(page.c_str() + at + key.size(), nullptr, 10);
        }
    }
    return tokens;
}

} // namespace

std::string readFile(const std::string &path)
{
    const std::ifstream file(path);
    if (!file)
        throw UsageError("cannot read " + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

int runQuestionnaire(const Words &words)
{
    const std::string answers = words.answers.empty() ? promptForAnswers(askLine) : readFile(words.answers);
    ValidationErrors faults;
    const auto configuration = generateConfiguration(answers, faults);
    if (!configuration)
        return printFaults(faults);
    std::cout << writeConfiguration(*configuration) << '\n';
    std::cerr << "forecast for a month:\n";
    for (const ForecastRow &row : forecast(*configuration))
        std::cerr << "  " << row.requestClass << ": " << row.requests << " requests, " << row.tokens
                  << " tokens\n";
    return ExitDone;
}

int runCheck(const Words &words)
{
    ValidationErrors faults;
    const auto configuration = readNamedDocument(words, faults);
    if (!configuration)
        return printFaults(faults);
    std::cout << "version " << configuration->version << " of " << configuration->deployment << " is valid\n";
    return ExitDone;
}

int runForecast(const Words &words)
{
    ValidationErrors faults;
    const auto configuration = readNamedDocument(words, faults);
    if (!configuration)
        return printFaults(faults);
    std::vector<std::string> pages;
    for (const std::string &instance : words.instances)
        pages.push_back(readPage(instance, "/metrics"));
    std::cout << std::left << std::setw(24) << "class" << std::right << std::setw(16) << "requests/month"
              << std::setw(18) << "tokens/month" << std::setw(16) << "tokens so far" << '\n';
    for (const ForecastRow &row : forecast(*configuration)) {
        std::cout << std::left << std::setw(24) << row.requestClass << std::right << std::setw(16)
                  << row.requests << std::setw(18) << row.tokens << std::setw(16)
                  << tokensSoFar(pages, row.requestClass) << '\n';
    }
    return ExitDone;
}

int runOutOrIn(const Words &words)
{
    if (words.positional.size() != 3 || (words.positional[1] != "out" && words.positional[1] != "in"))
        throw UsageError("say out or in, and one name");
    const std::string &kind = words.positional[0];
    const std::string &name = words.positional[2];
    const bool out = words.positional[1] == "out";
    ValidationErrors faults;
    const auto base = readBase(words, faults);
    if (!base)
        return printFaults(faults);
    const auto next =
        kind == "zone" ? withZoneOutOfService(*base, name, out) : withUpstreamOutOfService(*base, name, out);
    if (!next)
        throw UsageError("the configuration names no " + kind + ' ' + name);
    std::cout << writeConfiguration(*next) << '\n';
    return ExitDone;
}

} // namespace chestnutsill::tool
