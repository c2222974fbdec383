#pragma once

#include "chestnutsill/net/fiber.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>

namespace chestnutsill {

/// A pause of one fiber that others can end early. Used from one event loop only.
class InterruptibleSleep
{
public:
    /// Suspends the fiber for the given time. Returns false if it was interrupted.
    [[nodiscard]] bool sleepFor(std::chrono::milliseconds time, const Fiber &fiber);

    /// Ends the pause, if there is one.
    void interrupt();

private:
    /// Set during a pause.
    boost::asio::steady_timer *m_timer = nullptr;
};

} // namespace chestnutsill
