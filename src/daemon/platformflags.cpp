#include "daemon/settings.h"

#include "chestnutsill/net/address.h"
#include "chestnutsill/observe/log.h"
#include "chestnutsill/policy/hedging.h"

#include <boost/program_options.hpp>

#include <optional>
#include <sstream>
#include <string>
#include <vector>

namespace chestnutsill {

namespace {

constexpr int MaxPort = 65535;
constexpr std::string_view On = "on";
constexpr std::string_view Off = "off";
constexpr int MaxLimit = 1 << 20;

namespace options = boost::program_options;

/// Texts of the flags that are on or off.
struct Switches
{
    std::string upstreamSpeeds{On};
    std::string gapBudget{On};
};

/// Describes all flags; their values go into `flags` and `switches`.
void addFlags(options::options_description &description, PlatformFlags &flags, Switches &switches)
{
    auto add = description.add_options();
    add("help", "print this help");
    add("metrics-port", options::value(&flags.metricsPort),
        "port for metrics and state, 1 to 65535 (default 9464)");
    add("log-level", options::value(&flags.logLevel), "debug, info, warning or error (default info)");
    add("source-address", options::value(&flags.sourceAddress),
        "IP address from which connections to upstreams are opened (default: chosen by the system)");
    add("upstream-speeds", options::value(&switches.upstreamSpeeds),
        "on or off: learn the speed of each engine, exchange it with peers and use it (default on)");
    add("gap-budget", options::value(&switches.gapBudget),
        "on or off: weigh the gaps that a prompt causes between the events of streams (default on)");
    add("dispatch-queue", options::value(&flags.dispatchQueue),
        "on or off: hold requests with slack while no engine has room for them (default off)");
    add("memory-limit-mb", options::value<int>(),
        "memory of the process that bounds connections and requests, 0 (off) to 1048576 MB (default: "
        "limits.memory_mb of the settings file)");
    add("descriptor-limit", options::value<int>(),
        "file descriptors of the process that bound connections, 0 (off) to 1048576 (default: "
        "limits.file_descriptors of the settings file)");
    add("hedge-ratio", options::value(&flags.hedgeRatio),
        "share of the requests of a service that may get a second attempt while the first one waits for its "
        "answer, 0 to 0.2 (default 0: none)");
}

using Errors = std::vector<std::string>;

/// Whether a flag is on. Records an error unless it is `on` or `off`.
bool readSwitch(const std::string &name, std::string_view text, Errors &errors)
{
    if (text != On && text != Off)
        errors.push_back("--" + name + " must be on or off");
    return text == On;
}

/// A limit that replaces one of the settings file; nothing if it is not given.
std::optional<int> readLimit(const std::string &name, const options::variables_map &values, Errors &errors)
{
    if (values.count(name) == 0)
        return std::nullopt;
    const int limit = values[name].as<int>();
    if (limit < 0 || limit > MaxLimit)
        errors.push_back("--" + name + " must be an integer from 0 to 1048576");
    return limit;
}

/// Records an error for each value outside its range.
void checkRanges(const PlatformFlags &flags, Errors &errors)
{
    if (flags.metricsPort < 1 || flags.metricsPort > MaxPort)
        errors.emplace_back("--metrics-port must be an integer from 1 to 65535");
    if (!toLogLevel(flags.logLevel))
        errors.emplace_back("--log-level must be debug, info, warning or error");
    if (!flags.sourceAddress.empty() && !toSocketAddress(flags.sourceAddress + ":1"))
        errors.emplace_back("--source-address must be an IP address");
    // The comparison is false also for a value that is not a number.
    if (!(flags.hedgeRatio >= 0 && flags.hedgeRatio <= Hedging::MaxRatio))
        errors.emplace_back("--hedge-ratio must be a number from 0 to 0.2");
}

} // namespace

PlatformFlagsResult readPlatformFlags(std::span<const char *const> arguments)
{
    PlatformFlagsResult result;
    PlatformFlags flags;
    Switches switches;
    options::options_description description(
        "Flags when CHESTNUTSILL_CONFIG names the platform's settings file");
    addFlags(description, flags, switches);
    options::variables_map values;
    try {
        const std::vector<std::string> words(arguments.begin(), arguments.end());
        options::store(options::command_line_parser(words).options(description).run(), values);
        options::notify(values);
    } catch (const options::error &error) {
        result.errors.emplace_back(error.what());
        return result;
    }
    if (values.count("help") > 0) {
        std::ostringstream out;
        out << description;
        result.output = out.str();
        return result;
    }
    checkRanges(flags, result.errors);
    flags.upstreamSpeeds = readSwitch("upstream-speeds", switches.upstreamSpeeds, result.errors);
    flags.gapBudget = readSwitch("gap-budget", switches.gapBudget, result.errors);
    (void)readSwitch("dispatch-queue", flags.dispatchQueue, result.errors);
    flags.memoryLimitMb = readLimit("memory-limit-mb", values, result.errors);
    flags.descriptorLimit = readLimit("descriptor-limit", values, result.errors);
    if (result.errors.empty())
        result.flags = flags;
    return result;
}

} // namespace chestnutsill
