#pragma once

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace chestnutsill {

/// Settings of the daemon, from flags and environment variables.
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
    /// How long callers may keep an address answer.
    std::chrono::milliseconds addressTtl{10000};
    /// How long a leaving instance still accepts requests.
    std::chrono::milliseconds drainTime{70000};
    std::size_t maxBody = 1 << 20;
    std::chrono::milliseconds readTimeout{10000};
    std::string logLevel = "info";
};

/// Settings of the daemon on the users' platform, beside those that the platform gives.
struct PlatformFlags
{
    /// Port for metrics and the state, at the instance's IP address.
    int metricsPort = 9464;
    std::string logLevel = "info";
};

/// What became of reading the flags.
struct PlatformFlagsResult
{
    std::optional<PlatformFlags> flags;
    /// Text for `--help`, to be printed before a clean exit.
    std::string output;
    /// Everything that is wrong with the flags.
    std::vector<std::string> errors;
};

/// Reads the flags for the users' platform.
[[nodiscard]] PlatformFlagsResult readPlatformFlags(std::span<const char *const> arguments);

/// What became of reading the settings.
struct SettingsResult
{
    std::optional<Settings> settings;
    /// Text for `--help` and `--version`, to be printed before a clean exit.
    std::string output;
    /// Everything that is wrong with the settings, one entry a setting.
    std::vector<std::string> errors;
};

/// Reads settings: a flag goes before the environment variable `CHESTNUTSILL_<NAME>`, which goes before the
/// default.
[[nodiscard]] SettingsResult readSettings(std::span<const char *const> arguments);

} // namespace chestnutsill
