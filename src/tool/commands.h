#pragma once

#include <optional>
#include <span>
#include <stdexcept>
#include <string>
#include <vector>

namespace chestnutsill::tool {

/// Exit codes of the tool: the command succeeded, it failed, or the command line is invalid.
inline constexpr int ExitSuccess = 0;
inline constexpr int ExitFailed = 1;
inline constexpr int ExitUsage = 2;

/// Thrown for an invalid command line. The message names the invalid part.
class UsageError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Parsed command line.
struct CommandLine
{
    /// Positional arguments; the first is the command.
    std::vector<std::string> positional;
    /// Admin addresses of running instances.
    std::vector<std::string> instances;
    /// File of the configuration that the next version is based on; empty for the active configuration.
    std::string base;
    /// File of answers to the questionnaire; empty to prompt for them.
    std::string answers;
    /// File of the configuration in force with which another one is compared.
    std::optional<std::string> against;
    std::string account;
    std::string requestClass;
    std::string body;
    std::string target = "/v1/chat/completions";
    std::string requestId;
    bool json = false;
};

// Each of these runs one command and returns its exit code. They throw `UsageError` for invalid arguments.
int runQuestionnaire(const CommandLine &arguments);
int runCheck(const CommandLine &arguments);
int runForecast(const CommandLine &arguments);
int runOutOfService(const CommandLine &arguments);
int runStatus(const CommandLine &arguments);
int runDump(const CommandLine &arguments);
int runLateness(const CommandLine &arguments);
int runSend(const CommandLine &arguments);

/// Returns the content of a file. Throws `UsageError` when it can't be read.
[[nodiscard]] std::string readFile(const std::string &path);

/// Fetches a page of an instance's admin interface. Returns an empty string when there is no response with
/// status 200.
[[nodiscard]] std::string readPage(const std::string &address, const std::string &target);

} // namespace chestnutsill::tool
