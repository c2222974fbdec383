#include "commands.h"

#include <boost/program_options.hpp>

#include <functional>
#include <iostream>
#include <map>

namespace {

namespace options = boost::program_options;
using namespace chestnutsill::tool;

constexpr const char *Usage =
    R"(chestnutsill: generates configurations and watches a running cluster

  chestnutsill questionnaire [--answers FILE]    asks for answers, or takes them from a file, and prints the
                                                 configuration
  chestnutsill check FILE                        names every fault of a configuration
  chestnutsill forecast FILE [--instances LIST]  prints the forecast for a month by class, beside tokens so far
  chestnutsill zone out|in NAME                  prints the next configuration, with an availability zone or an
  chestnutsill upstream out|in NAME              upstream out of service or back in; built on the one in force at
                                                 --instances, or on --base FILE if that is no older
  chestnutsill status --instances LIST [--json]  shows what is in force where
  chestnutsill dump --instances LIST             prints the state of each instance
  chestnutsill send ADDRESS --account NAME [--class NAME] --body TEXT [--target PATH] [--request-id ID]
                                                 sends a request as a caller; obtains a request id when needed

LIST is the operators' addresses of instances, divided by commas; CHESTNUTSILL_INSTANCES holds the default.
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

Words parseWords(int argc, char **argv)
{
    Words words;
    const char *variable = std::getenv("CHESTNUTSILL_INSTANCES");
    std::string instances = variable != nullptr ? variable : "";
    options::options_description description;
    auto add = description.add_options();
    add("words", options::value(&words.positional));
    add("instances", options::value(&instances));
    add("base", options::value(&words.base));
    add("answers", options::value(&words.answers));
    add("account", options::value(&words.account));
    add("class", options::value(&words.requestClass));
    add("body", options::value(&words.body));
    add("target", options::value(&words.target));
    add("request-id", options::value(&words.requestId));
    add("json", options::bool_switch(&words.json));
    options::positional_options_description positional;
    positional.add("words", -1);
    options::variables_map map;
    options::store(options::command_line_parser(argc, argv).options(description).positional(positional).run(),
                   map);
    options::notify(map);
    words.instances = splitList(instances);
    return words;
}

} // namespace

/// Entry point of the tool.
int main(int argc, char **argv)
{
    const std::map<std::string, std::function<int(const Words &)>> commands{
        {"questionnaire", runQuestionnaire},
        {"check", runCheck},
        {"forecast", runForecast},
        {"zone", runOutOrIn},
        {"upstream", runOutOrIn},
        {"status", runStatus},
        {"dump", runDump},
        {"send", runSend}};
    const std::string name = argc > 1 ? argv[1] : "";
    const auto command = commands.find(name);
    if (command == commands.end()) {
        const bool asked = name == "--help" || name == "help";
        (asked ? std::cout : std::cerr) << Usage;
        return asked ? ExitDone : ExitUsage;
    }
    try {
        return command->second(parseWords(argc, argv));
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
