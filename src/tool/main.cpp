#include "commands.h"

#include <boost/program_options.hpp>

#include <functional>
#include <iostream>
#include <map>

namespace {

namespace options = boost::program_options;
using namespace chestnutsill::tool;

constexpr const char *Usage =
    R"(chestnutsill: generates configurations and inspects a running cluster

  chestnutsill questionnaire [--answers FILE]    prompts for answers or reads them from a file, and prints the
                                                 configuration
  chestnutsill check FILE [--against FILE] [--json]
                                                 reports all errors of a configuration or a published routing
                                                 table, what contradicts or has no effect, and differences from
                                                 the version in force; exits with 1 for errors and warnings
  chestnutsill forecast FILE [--instances LIST]  prints the monthly forecast per class and the tokens so far
  chestnutsill zone out|in NAME                  prints the next configuration with an availability zone or an
  chestnutsill upstream out|in NAME              upstream out of service or back in service, based on the
                                                 active one at --instances, or on --base FILE if that
                                                 is not older
  chestnutsill status --instances LIST [--json]  shows configuration versions and upstreams of the instances
  chestnutsill dump --instances LIST             prints the state of each instance
  chestnutsill lateness --instances LIST [--json]
                                                 shows by route and by account how many requests missed their
                                                 targets, were refused or failed, over all instances
  chestnutsill send ADDRESS --account NAME [--class NAME] --body TEXT [--target PATH] [--request-id ID]
                                                 sends a request as a caller; obtains a request id when needed

LIST is a comma-separated list of the admin addresses of instances; the default is CHESTNUTSILL_INSTANCES.
)";

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> items;
    std::size_t start = 0;
    while (start < text.size()) {
        const std::size_t comma = std::min(text.find(',', start), text.size());
        if (comma > start)
            items.push_back(text.substr(start, comma - start));
        start = comma + 1;
    }
    return items;
}

CommandLine parseCommandLine(int argc, char **argv)
{
    CommandLine arguments;
    const char *variable = std::getenv("CHESTNUTSILL_INSTANCES");
    std::string instances = variable != nullptr ? variable : "";
    options::options_description description;
    auto add = description.add_options();
    add("words", options::value(&arguments.positional));
    add("instances", options::value(&instances));
    add("base", options::value(&arguments.base));
    add("against",
        options::value<std::string>()->notifier([&](const std::string &path) { arguments.against = path; }));
    add("answers", options::value(&arguments.answers));
    add("account", options::value(&arguments.account));
    add("class", options::value(&arguments.requestClass));
    add("body", options::value(&arguments.body));
    add("target", options::value(&arguments.target));
    add("request-id", options::value(&arguments.requestId));
    add("json", options::bool_switch(&arguments.json));
    options::positional_options_description positional;
    positional.add("words", -1);
    options::variables_map map;
    options::store(options::command_line_parser(argc, argv).options(description).positional(positional).run(),
                   map);
    options::notify(map);
    arguments.instances = splitList(instances);
    return arguments;
}

} // namespace

int main(int argc, char **argv)
{
    const std::map<std::string, std::function<int(const CommandLine &)>> commands{
        {"questionnaire", runQuestionnaire},
        {"check", runCheck},
        {"forecast", runForecast},
        {"zone", runOutOfService},
        {"upstream", runOutOfService},
        {"status", runStatus},
        {"dump", runDump},
        {"lateness", runLateness},
        {"send", runSend}};
    const std::string name = argc > 1 ? argv[1] : "";
    const auto command = commands.find(name);
    if (command == commands.end()) {
        const bool helpRequested = name == "--help" || name == "help";
        (helpRequested ? std::cout : std::cerr) << Usage;
        return helpRequested ? ExitSuccess : ExitUsage;
    }
    try {
        return command->second(parseCommandLine(argc, argv));
    } catch (const UsageError &error) {
        std::cerr << "chestnutsill " << name << ": " << error.what() << '\n';
        return ExitUsage;
    } catch (const boost::program_options::error &error) {
        std::cerr << "chestnutsill " << name << ": " << error.what() << '\n';
        return ExitUsage;
    } catch (const std::exception &error) {
        std::cerr << "chestnutsill " << name << ": " << error.what() << '\n';
        return ExitFailed;
    }
}
