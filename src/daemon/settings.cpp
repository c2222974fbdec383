#include "daemon/settings.h"

#include "chestnutsill/config/address.h"
#include "chestnutsill/observe/log.h"

#include <boost/program_options.hpp>

#include <array>
#include <charconv>
#include <cstdlib>
#include <functional>
#include <map>
#include <sstream>

namespace chestnutsill {

namespace {

namespace options = boost::program_options;

struct Setting
{
    std::string_view name;
    std::string_view help;
    /// Empty for a required setting.
    std::string_view defaultValue;
};

constexpr std::array<Setting, 15> AllSettings{{
    {"name", "name of this instance, as in the instance list", ""},
    {"zone", "availability zone of this instance", ""},
    {"listen", "IP address and port for callers", ""},
    {"admin-listen", "IP address and port for operators", ""},
    {"peer-listen", "IP address and port for peers", ""},
    {"config-service", "IP address and port of the configuration service", ""},
    {"instance-list", "IP address and port of the instance list", ""},
    {"threads", "worker threads, 1 to 64", "2"},
    {"hold-ms", "how long callers may cache an address response, 100 to 600000 ms", "10000"},
    {"drain-ms", "how long a leaving instance accepts requests, 0 to 600000 ms, at least hold-ms", "70000"},
    {"max-body-bytes", "largest request body, 1024 to 16777216 bytes", "1048576"},
    {"read-timeout-ms", "time for a request body to arrive after the header fields, 100 to 600000 ms",
     "10000"},
    {"log-level", "debug, info, warning or error", "info"},
    {"memory-limit-mb", "memory of the process that bounds connections and requests, 0 (off) to 1048576 MB",
     "0"},
    {"descriptor-limit", "file descriptors of the process that bound connections, 0 (off) to 1048576", "0"},
}};

std::string variableOf(std::string_view name)
{
    std::string variable = "CHESTNUTSILL_";
    for (const char c : name)
        variable += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    return variable;
}

/// Validates the values one by one and collects all errors.
class SettingValues
{
public:
    SettingValues(std::map<std::string, std::string> values, std::vector<std::string> &errors)
        : m_values(std::move(values))
        , m_errors(errors)
    {}

    [[nodiscard]] std::string text(const std::string &name)
    {
        std::string value = m_values[name];
        if (value.empty())
            addError(name, "is missing; set the flag or " + variableOf(name));
        return value;
    }

    [[nodiscard]] std::string address(const std::string &name)
    {
        std::string value = text(name);
        if (!value.empty() && !isAddress(value))
            addError(name, "must be an IP address and a port, not \"" + value + '"');
        return value;
    }

    [[nodiscard]] std::int64_t integer(const std::string &name, std::int64_t min, std::int64_t max)
    {
        const std::string value = text(name);
        std::int64_t number = 0;
        const auto [stop, error] = std::from_chars(value.data(), value.data() + value.size(), number);
        const bool valid = error == std::errc() && stop == value.data() + value.size();
        if (valid && number >= min && number <= max)
            return number;
        addError(name, "must be an integer from " + std::to_string(min) + " to " + std::to_string(max));
        return min;
    }

    void addError(const std::string &name, const std::string &message)
    {
        m_errors.push_back("--" + name + ' ' + message);
    }

private:
    std::map<std::string, std::string> m_values;
    std::vector<std::string> &m_errors;
};

Settings checkValues(SettingValues &values)
{
    Settings settings;
    settings.name = values.text("name");
    settings.zone = values.text("zone");
    settings.listen = values.address("listen");
    settings.adminListen = values.address("admin-listen");
    settings.peerListen = values.address("peer-listen");
    settings.configService = values.address("config-service");
    settings.instanceList = values.address("instance-list");
    settings.threads = static_cast<int>(values.integer("threads", 1, 64));
    settings.addressTtl = std::chrono::milliseconds(values.integer("hold-ms", 100, 600'000));
    settings.drainTime = std::chrono::milliseconds(values.integer("drain-ms", 0, 600'000));
    settings.maxBody = static_cast<std::size_t>(values.integer("max-body-bytes", 1024, 16 << 20));
    settings.readTimeout = std::chrono::milliseconds(values.integer("read-timeout-ms", 100, 600'000));
    settings.logLevel = values.text("log-level");
    if (!toLogLevel(settings.logLevel))
        values.addError("log-level", "must be debug, info, warning or error");
    settings.memoryLimitMb = static_cast<int>(values.integer("memory-limit-mb", 0, 1 << 20));
    settings.descriptorLimit = static_cast<int>(values.integer("descriptor-limit", 0, 1 << 20));
    if (settings.drainTime < settings.addressTtl)
        values.addError("drain-ms", "must be at least hold-ms, because callers cache addresses that long");
    return settings;
}

options::options_description describe()
{
    options::options_description description(
        "Settings (a flag overrides its environment variable, which overrides the default)");
    auto add = description.add_options();
    add("help", "print this help");
    add("version", "print the version");
    for (const Setting &setting : AllSettings) {
        std::string help(setting.help);
        help += setting.defaultValue.empty() ? " (required)"
                                             : " (default " + std::string(setting.defaultValue) + ')';
        add(std::string(setting.name).c_str(), options::value<std::string>(), help.c_str());
    }
    return description;
}

} // namespace

SettingsResult readSettings(std::span<const char *const> arguments)
{
    SettingsResult result;
    const auto description = describe();
    std::map<std::string, std::string> given;
    for (const Setting &setting : AllSettings) {
        const std::string name(setting.name);
        const char *variable = std::getenv(variableOf(name).c_str());
        given[name] = variable != nullptr ? variable : std::string(setting.defaultValue);
    }
    const std::vector<std::string> words(arguments.begin(), arguments.end());
    const auto parsed = options::command_line_parser(words).options(description).allow_unregistered().run();
    for (const auto &option : parsed.options) {
        if (option.string_key == "help") {
            std::ostringstream out;
            out << "chestnutsilld: routes language-model requests by service level\n" << description;
            result.output = out.str();
            return result;
        }
        if (option.string_key == "version") {
            result.output = "chestnutsilld 0.1.0\n";
            return result;
        }
        if (option.unregistered || option.string_key.empty() || option.value.empty()) {
            const std::string word =
                option.original_tokens.empty() ? option.string_key : option.original_tokens[0];
            result.errors.push_back(word + " is not a known setting");
            continue;
        }
        given[option.string_key] = option.value[0];
    }
    SettingValues values(std::move(given), result.errors);
    Settings settings = checkValues(values);
    if (result.errors.empty())
        result.settings = std::move(settings);
    return result;
}

} // namespace chestnutsill
