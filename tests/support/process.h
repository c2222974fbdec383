#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace chestnutsill::support {

/// A child process of the test. The destructor kills and reaps it.
class Process
{
public:
    /// Starts a program and appends its output to `logFile`. Throws `std::runtime_error` when it can't.
    Process(const std::vector<std::string> &command, const std::string &logFile);
    ~Process();

    Process(Process &&other) noexcept;
    Process &operator=(Process &&other) noexcept;

    void signal(int number) const;

    /// Kills the process with SIGKILL and reaps it.
    void kill();

    /// Waits up to `seconds` for the process to exit. Returns its exit code, or -1 when it still runs or was
    /// killed by a signal.
    [[nodiscard]] int waitForExit(int seconds);

    [[nodiscard]] pid_t pid() const noexcept { return m_pid; }

private:
    pid_t m_pid = -1;
};

} // namespace chestnutsill::support
