#pragma once

#include <kj/async-io.h>
#include <kj/async-unix.h>

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace chestnutsill::impl {

/// A thread that runs a KJ event loop and executes tasks posted from any thread.
class KjLoop
{
public:
    /// KJ objects of the loop that tasks may use.
    struct Context
    {
        kj::AsyncIoProvider &io;
        kj::Network &network;
        kj::Timer &timer;
        kj::WaitScope &waitScope;
    };

    using Task = std::function<void(Context &)>;

    /// Starts the thread, which runs `setUp` first and `tearDown` last. Throws `std::runtime_error` when
    /// `setUp` throws a `kj::Exception` or the event descriptor cannot be created.
    KjLoop(const Task &setUp, Task tearDown);
    ~KjLoop();

    KjLoop(const KjLoop &) = delete;
    KjLoop &operator=(const KjLoop &) = delete;

    /// Runs a task on the loop's thread. Tasks posted after the destructor has begun may be dropped.
    void post(Task task);

    /// CPU time that the thread has used.
    [[nodiscard]] std::chrono::microseconds cpuTime() const;

private:
    void run(const Task &setUp, std::string &failure, const std::function<void()> &started);
    void serve(Context &context, kj::UnixEventPort &port);
    [[nodiscard]] std::vector<Task> takeTasks();

    int m_wakeFd;
    Task m_tearDown;
    std::mutex m_mutex;
    std::vector<Task> m_tasks;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace chestnutsill::impl
