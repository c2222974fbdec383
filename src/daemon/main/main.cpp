#include "chestnutsill/observe/log.h"
#include "daemon/daemon.h"
#include "daemon/platformdaemon.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>

namespace {

constexpr int ExitBadSettings = 2;
constexpr int ExitFailed = 1;
/// Environment variable with the path of the platform's settings file. If it is set, the daemon runs on the
/// users' platform.
constexpr const char *PlatformSettingsVariable = "CHESTNUTSILL_CONFIG";

/// Converts a level name that has been validated.
chestnutsill::LogLevel levelOf(const std::string &name)
{
    return chestnutsill::toLogLevel(name).value_or(chestnutsill::LogLevel::Info);
}

int runOnPlatform(const std::string &settingsPath, std::span<const char *const> arguments)
{
    const auto flags = chestnutsill::readPlatformFlags(arguments);
    std::cout << flags.output;
    for (const std::string &error : flags.errors)
        std::cerr << "chestnutsilld: " << error << '\n';
    if (!flags.flags)
        return flags.errors.empty() ? 0 : ExitBadSettings;
    chestnutsill::ValidationErrors errors;
    const auto settings = chestnutsill::readSettingsFile(settingsPath, errors);
    for (const chestnutsill::ValidationError &error : errors)
        std::cerr << "chestnutsilld: " << settingsPath << ": " << error.path << ' ' << error.message << '\n';
    if (!settings)
        return ExitBadSettings;
    chestnutsill::setUpLog(settings->instance, levelOf(flags.flags->logLevel));
    chestnutsill::PlatformDaemon daemon(*settings, settingsPath, *flags.flags);
    daemon.run();
    return 0;
}

int runOwnInterface(std::span<const char *const> arguments)
{
    const auto result = chestnutsill::readSettings(arguments);
    std::cout << result.output;
    if (!result.settings) {
        for (const std::string &error : result.errors)
            std::cerr << "chestnutsilld: " << error << '\n';
        return result.errors.empty() ? 0 : ExitBadSettings;
    }
    chestnutsill::setUpLog(result.settings->name, levelOf(result.settings->logLevel));
    chestnutsill::Daemon daemon(*result.settings);
    daemon.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        std::signal(SIGPIPE, SIG_IGN);
        const std::vector<const char *> arguments(argv + 1, argv + argc);
        const char *platformSettings = std::getenv(PlatformSettingsVariable);
        if (platformSettings != nullptr)
            return runOnPlatform(platformSettings, arguments);
        return runOwnInterface(arguments);
    } catch (const std::exception &error) {
        std::cerr << "chestnutsilld: " << error.what() << '\n';
        return ExitFailed;
    }
}
