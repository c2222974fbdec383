#pragma once

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace chestnutsill {

/// Settings of the daemon on its own interface, from flags and environment variables.
struct Settings
{
    std::string name;
    std::string zone;
    /// IP addresses and ports on which callers, operators and peers are served.
    std::string listen;
    std::string adminListen;
    std::string peerListen;
    /// IP addresses and ports of the configuration service and the instance list.
    std::string configService;
    std::string instanceList;
    /// Number of worker threads.
    int threads = 2;
    /// How long callers may cache an address response.
    std::chrono::milliseconds addressTtl{10000};
    /// How long a leaving instance still accepts requests.
    std::chrono::milliseconds drainTime{70000};
    /// Maximum size of a request body in bytes.
    std::size_t maxBody = 1 << 20;
    /// Time for a request body to arrive after the header fields.
    std::chrono::milliseconds readTimeout{10000};
    std::string logLevel = "info";
    /// Memory of the process in MB and its file descriptors, which bound the connections of callers and
    /// operators; 0 for no bound.
    int memoryLimitMb = 0;
    int descriptorLimit = 0;
};

/// Flags of the daemon on the users' platform, in addition to the platform's settings file.
struct PlatformFlags
{
    /// Port for metrics and state on the instance's IP address.
    int metricsPort = 9464;
    std::string logLevel = "info";
    /// IP address from which connections to upstreams are opened; chosen by the system if empty.
    std::string sourceAddress;
    /// Whether the speed of each engine is learnt and used; see `UpstreamSpeeds`.
    bool upstreamSpeeds = true;
    /// Whether placement weighs the gaps that a prompt causes; see `GapBudget`.
    bool gapBudget = true;
    /// Whether requests with slack are held while no engine has room for them: `on` or `off`.
    std::string dispatchQueue = "off";
    /// Replace the memory in MB and the number of file descriptors that the settings file gives to the
    /// process; 0 switches the bound off.
    std::optional<int> memoryLimitMb;
    std::optional<int> descriptorLimit;
    /// Share of the requests of a service that may get a second attempt while the first one waits for its
    /// answer, 0 to 0.2; 0 for none.
    double hedgeRatio = 0;
};

/// Result of reading the flags.
struct PlatformFlagsResult
{
    /// Empty if there are errors or an output.
    std::optional<PlatformFlags> flags;
    /// Text for `--help`, to be printed before exiting with success.
    std::string output;
    /// Messages about the invalid flags.
    std::vector<std::string> errors;
};

/// Reads the flags of the daemon on the users' platform.
[[nodiscard]] PlatformFlagsResult readPlatformFlags(std::span<const char *const> arguments);

/// Result of reading the settings.
struct SettingsResult
{
    /// Empty if there are errors or an output.
    std::optional<Settings> settings;
    /// Text for `--help` or `--version`, to be printed before exiting with success.
    std::string output;
    /// One message for each invalid setting.
    std::vector<std::string> errors;
};

/// Reads the settings. A flag overrides the environment variable `CHESTNUTSILL_<NAME>`, which overrides the
/// default.
[[nodiscard]] SettingsResult readSettings(std::span<const char *const> arguments);

} // namespace chestnutsill
