#include "chestnutsill/net/interruptiblesleep.h"

namespace chestnutsill {

bool InterruptibleSleep::sleepFor(std::chrono::milliseconds time, const Fiber &fiber)
{
    boost::asio::steady_timer timer(fiber.get_executor(), time);
    m_timer = &timer;
    boost::system::error_code error;
    timer.async_wait(fiber[error]);
    m_timer = nullptr;
    return !error;
}

void InterruptibleSleep::interrupt()
{
    if (m_timer != nullptr)
        m_timer->cancel();
}

} // namespace chestnutsill
