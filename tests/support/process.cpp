#include "process.h"

#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <utility>

extern char **environ;

namespace chestnutsill::support {

Process::Process(const std::vector<std::string> &command, const std::string &logFile)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &word : command)
        arguments.push_back(const_cast<char *>(word.c_str()));
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    posix_spawn_file_actions_adddup2(&actions, STDERR_FILENO, STDOUT_FILENO);
    const int error = posix_spawn(&m_pid, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::runtime_error("cannot start " + command[0] + ": " + std::strerror(error));
}

Process::Process(Process &&other) noexcept
    : m_pid(std::exchange(other.m_pid, -1))
{}

Process &Process::operator=(Process &&other) noexcept
{
    std::swap(m_pid, other.m_pid);
    return *this;
}

Process::~Process()
{
    kill();
}

void Process::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

void Process::kill()
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
    m_pid = -1;
}

int Process::waitForExit(int seconds)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    for (;;) {
        int status = 0;
        if (::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = -1;
            return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        }
        if (std::chrono::steady_clock::now() >= end)
            return -1;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
}

} // namespace chestnutsill::support
