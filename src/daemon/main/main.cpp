#include "chestnutsill/observe/log.h"
#include "daemon/daemon.h"

#include <csignal>
#include <exception>
#include <iostream>

namespace {

constexpr int ExitBadSettings = 2;
constexpr int ExitFailed = 1;

chestnutsill::LogLevel levelOf(const std::string &name)
{
    using chestnutsill::LogLevel;
    if (name == "debug")
        return LogLevel::Debug;
    if (name == "warning")
        return LogLevel::Warning;
    return name == "error" ? LogLevel::Error : LogLevel::Info;
}

} // namespace

/// Entry point of the daemon.
int main(int argc, char **argv)
{
    try {
        const std::vector<const char *> arguments(argv + 1, argv + argc);
        const auto result = chestnutsill::readSettings(arguments);
        std::cout << result.output;
        if (!result.settings) {
            for (const std::string &fault : result.faults)
                std::cerr << "chestnutsilld: " << fault << '\n';
            return result.faults.empty() ? 0 : ExitBadSettings;
        }
        std::signal(SIGPIPE, SIG_IGN);
        chestnutsill::setUpLog(result.settings->name, levelOf(result.settings->logLevel));
        chestnutsill::Daemon daemon(*result.settings);
        daemon.run();
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "chestnutsilld: " << error.what() << '\n';
        return ExitFailed;
    }
}
