#include "impl/kjloop.h"

#include <ctime>
#include <future>
#include <stdexcept>
#include <utility>

#include <pthread.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace chestnutsill::impl {

KjLoop::KjLoop(const Task &setUp, Task tearDown)
    : m_wakeFd(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    , m_tearDown(std::move(tearDown))
{
    if (m_wakeFd < 0)
        throw std::runtime_error("cannot create an event descriptor");
    std::promise<void> started;
    std::string failure;
    m_thread = std::thread([&] { run(setUp, failure, [&] { started.set_value(); }); });
    started.get_future().wait();
    if (failure.empty())
        return;
    m_thread.join();
    ::close(m_wakeFd);
    throw std::runtime_error(failure);
}

KjLoop::~KjLoop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    post([](Context &) {});
    m_thread.join();
    ::close(m_wakeFd);
}

void KjLoop::post(Task task)
{
    bool wake = false;
    {
        const std::lock_guard lock(m_mutex);
        wake = m_tasks.empty();
        m_tasks.push_back(std::move(task));
    }
    if (!wake)
        return;
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = ::write(m_wakeFd, &one, sizeof one);
}

std::chrono::microseconds KjLoop::cpuTime() const
{
    clockid_t clock{};
    timespec time{};
    const auto handle = const_cast<std::thread &>(m_thread).native_handle();
    if (::pthread_getcpuclockid(handle, &clock) != 0 || ::clock_gettime(clock, &time) != 0)
        return {};
    return std::chrono::seconds(time.tv_sec) + std::chrono::microseconds(time.tv_nsec / 1000);
}

std::vector<KjLoop::Task> KjLoop::takeTasks()
{
    std::uint64_t count = 0;
    [[maybe_unused]] const auto got = ::read(m_wakeFd, &count, sizeof count);
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_tasks, {});
}

void KjLoop::run(const Task &setUp, std::string &failure, const std::function<void()> &started)
{
    auto io = kj::setupAsyncIo();
    Context context{*io.provider, io.provider->getNetwork(), io.provider->getTimer(), io.waitScope};
    try {
        setUp(context);
    } catch (const kj::Exception &error) {
        failure = std::string("cannot listen for peers: ") + error.getDescription().cStr();
        started();
        return;
    }
    started();
    serve(context, io.unixEventPort);
    m_tearDown(context);
}

void KjLoop::serve(Context &context, kj::UnixEventPort &port)
{
    kj::UnixEventPort::FdObserver observer(port, m_wakeFd, kj::UnixEventPort::FdObserver::OBSERVE_READ);
    for (;;) {
        for (const Task &task : takeTasks())
            task(context);
        {
            const std::lock_guard lock(m_mutex);
            if (m_stopping)
                return;
            if (!m_tasks.empty())
                continue;
        }
        observer.whenBecomesReadable().wait(context.waitScope);
    }
}

} // namespace chestnutsill::impl
