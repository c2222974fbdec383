#pragma once

#include <span>
#include <stdexcept>
#include <string>
#include <vector>

namespace chestnutsill::tool {

/// Exit codes of the tool.
inline constexpr int ExitDone = 0;
inline constexpr int ExitFailed = 1;
inline constexpr int ExitUsage = 2;

/// A command line that can't be used. The message names the part at fault.
class UsageError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Words of a command line: positional words in order, and options.
struct Words
{
    std::vector<std::string> positional;
    /// Addresses of the operators' pages of running instances.
    std::vector<std::string> instances;
    std::string base;
    std::string answers;
    std::string account;
    std::string requestClass;
    std::string body;
    std::string target = "/v1/chat/completions";
    std::string requestId;
    bool json = false;
};

/// Each runs one command and returns its exit code.
int runQuestionnaire(const Words &words);
int runCheck(const Words &words);
int runForecast(const Words &words);
int runOutOrIn(const Words &words);
int runStatus(const Words &words);
int runDump(const Words &words);
int runSend(const Words &words);

/// The whole text of a file. Throws `UsageError` when it can't be read.
[[nodiscard]] std::string readFile(const std::string &path);

/// A page of one instance; empty when it can't be read.
[[nodiscard]] std::string readPage(const std::string &address, const std::string &target);

} // namespace chestnutsill::tool
