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
    /// IP address and port for callers, operators and peers.
    std::string listen;
    std::string adminListen;
    std::string peerListen;
    /// IP address and port of the platform's services.
    std::string configService;
    std::string instanceList;
    int threads = 2;
    /// How long callers may cache an address response.
    std::chrono::milliseconds addressTtl{10000};
    /// How long a leaving instance still accepts requests.
    std::chrono::milliseconds drainTime{70000};
    std::size_t maxBody = 1 << 20;
    std::chrono::milliseconds readTimeout{10000};
    std::string logLevel = "info";
};

/// Flags of the daemon on the users' platform, in addition to the platform's settings file.
struct PlatformFlags
{
    /// Port for metrics and state on the instance's IP address.
    int metricsPort = 9464;
    std::string logLevel = "info";
};

/// Result of reading the flags.
struct PlatformFlagsResult
{
    std::optional<PlatformFlags> flags;
    /// Text for `--help`, to be printed before exiting with success.
    std::string output;
    /// All invalid flags.
    std::vector<std::string> errors;
};

/// Reads the flags of the daemon on the users' platform.
[[nodiscard]] PlatformFlagsResult readPlatformFlags(std::span<const char *const> arguments);

/// Result of reading the settings.
struct SettingsResult
{
    std::optional<Settings> settings;
    /// Text for `--help` or `--version`, to be printed before exiting with success.
    std::string output;
    /// All invalid settings, one entry each.
    std::vector<std::string> errors;
};

/// Reads the settings. A flag overrides the environment variable `CHESTNUTSILL_<NAME>`, which overrides the
/// default.
[[nodiscard]] SettingsResult readSettings(std::span<const char *const> arguments);

} // namespace chestnutsill
