#include "chestnutsill/config/checkreport.h"
#include "chestnutsill/config/document.h"
#include "chestnutsill/config/questionnaire.h"
#include "commands.h"
#include "platform/check.h"

#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace chestnutsill::tool {

namespace {

/// Prints the errors and returns the exit code for them.
int printErrors(const ValidationErrors &errors)
{
    for (const ValidationError &error : errors)
        std::cerr << error.path << ": " << error.message << '\n';
    return ExitFailed;
}

std::string promptLine(std::string_view question)
{
    std::cerr << question << ": ";
    std::string line;
    std::getline(std::cin, line);
    return line;
}

/// Returns the newest of the configurations that are active at the instances. Throws `UsageError` when none
/// can be read.
Configuration newestActiveConfiguration(const std::vector<std::string> &instances)
{
    std::optional<Configuration> newest;
    for (const std::string &instance : instances) {
        ValidationErrors errors;
        auto configuration = parseConfiguration(readPage(instance, "/configuration"), errors);
        if (!configuration)
            std::cerr << instance << ": cannot read a valid configuration\n";
        else if (!newest || configuration->version > newest->version)
            newest = std::move(configuration);
    }
    if (!newest)
        throw UsageError("--instances: cannot read the active configuration from any instance");
    return *newest;
}

/// Returns the configuration that the next version is based on: that of `--base`, or the active one. A file
/// older than the active configuration is an error.
std::optional<Configuration> readBase(const CommandLine &arguments, ValidationErrors &errors)
{
    auto active = newestActiveConfiguration(arguments.instances);
    if (arguments.base.empty())
        return active;
    auto base = parseConfiguration(readFile(arguments.base), errors);
    if (base && base->version < active.version) {
        errors.push_back({"version", "base version " + std::to_string(base->version)
                                         + " is older than the active version "
                                         + std::to_string(active.version)});
        return std::nullopt;
    }
    return base;
}

/// Reads the configuration file that is the only argument of the command. Adds what is invalid to `errors`.
std::optional<Configuration> readConfigurationFile(const CommandLine &arguments, ValidationErrors &errors)
{
    if (arguments.positional.size() != 2)
        throw UsageError("expected one configuration file");
    return parseConfiguration(readFile(arguments.positional[1]), errors);
}

/// Sum of the tokens of a class, in and out, that the metrics pages of the instances count.
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

int runQuestionnaire(const CommandLine &arguments)
{
    const std::string answers =
        arguments.answers.empty() ? promptForAnswers(promptLine) : readFile(arguments.answers);
    ValidationErrors errors;
    const auto configuration = generateConfiguration(answers, errors);
    if (!configuration)
        return printErrors(errors);
    std::cout << writeConfiguration(*configuration) << '\n';
    std::cerr << "forecast per month:\n";
    for (const ForecastRow &row : forecast(*configuration))
        std::cerr << "  " << row.requestClass << ": " << row.requests << " requests, " << row.tokens
                  << " tokens\n";
    return ExitSuccess;
}

int runCheck(const CommandLine &arguments)
{
    if (arguments.positional.size() != 2)
        throw UsageError("expected one configuration file");
    const std::string text = readFile(arguments.positional[1]);
    std::optional<std::string> inForce;
    if (arguments.against)
        inForce = readFile(*arguments.against);
    const CheckReport report = platform::checkDocument(text, inForce);
    std::cout << (arguments.json ? toJson(report) + '\n' : toText(report));
    return hasFaults(report) ? ExitFailed : ExitSuccess;
}

int runForecast(const CommandLine &arguments)
{
    ValidationErrors errors;
    const auto configuration = readConfigurationFile(arguments, errors);
    if (!configuration)
        return printErrors(errors);
    std::vector<std::string> pages;
    for (const std::string &instance : arguments.instances)
        pages.push_back(readPage(instance, "/metrics"));
    std::cout << std::left << std::setw(24) << "class" << std::right << std::setw(16) << "requests/month"
              << std::setw(18) << "tokens/month" << std::setw(16) << "tokens so far" << '\n';
    for (const ForecastRow &row : forecast(*configuration)) {
        std::cout << std::left << std::setw(24) << row.requestClass << std::right << std::setw(16)
                  << row.requests << std::setw(18) << row.tokens << std::setw(16)
                  << tokensSoFar(pages, row.requestClass) << '\n';
    }
    return ExitSuccess;
}

int runOutOfService(const CommandLine &arguments)
{
    if (arguments.positional.size() != 3
        || (arguments.positional[1] != "out" && arguments.positional[1] != "in"))
        throw UsageError("expected out or in, and one name");
    const std::string &kind = arguments.positional[0];
    const std::string &name = arguments.positional[2];
    const bool out = arguments.positional[1] == "out";
    ValidationErrors errors;
    const auto base = readBase(arguments, errors);
    if (!base)
        return printErrors(errors);
    const auto next =
        kind == "zone" ? withZoneOutOfService(*base, name, out) : withUpstreamOutOfService(*base, name, out);
    if (!next)
        throw UsageError("the configuration has no " + kind + ' ' + name);
    std::cout << writeConfiguration(*next) << '\n';
    return ExitSuccess;
}

} // namespace chestnutsill::tool
