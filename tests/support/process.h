#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace chestnutsill::support {

/// A child process of the test. Killed and reaped when destroyed.
class Process
{
public:
    /// Starts a program; its output goes to `logFile`.
    Process(const std::vector<std::string> &command, const std::string &logFile);
    ~Process();

    Process(Process &&other) noexcept;
    Process &operator=(Process &&other) noexcept;

    /// Sends a signal.
    void signal(int number) const;

    /// Kills the process at once.
    void kill();

    /// Waits up to `seconds` for the process to end. Returns its exit code, or -1.
    [[nodiscard]] int waitForExit(int seconds);

    [[nodiscard]] pid_t pid() const noexcept { return m_pid; }

private:
    pid_t m_pid = -1;
};

} // namespace chestnutsill::support
