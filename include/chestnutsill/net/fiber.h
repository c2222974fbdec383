#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/strand.hpp>

#include <chrono>
#include <exception>
#include <functional>

namespace chestnutsill {

/// Handle through which a fiber (stackful coroutine) suspends itself. Each fiber has its own strand.
using Fiber = boost::asio::yield_context;

/// Starts a fiber. An exception that escapes it propagates out of `io_context::run` and ends the process.
inline void startFiber(boost::asio::io_context &io, std::function<void(Fiber)> body)
{
    boost::asio::spawn(boost::asio::make_strand(io), std::move(body), [](const std::exception_ptr &error) {
        if (error)
            std::rethrow_exception(error);
    });
}

/// Suspends the fiber for the given time.
void sleepFor(std::chrono::milliseconds time, const Fiber &fiber);

} // namespace chestnutsill
