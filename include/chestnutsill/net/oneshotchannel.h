#pragma once

#include "chestnutsill/net/fiber.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <utility>

namespace chestnutsill {

/// Carries one value from any thread to one waiting fiber. Values after the first are dropped.
template<typename T>
class OneShotChannel : public std::enable_shared_from_this<OneShotChannel<T>>
{
public:
    /// Creates a channel whose value is received by the fiber that runs on `executor`.
    explicit OneShotChannel(const boost::asio::any_io_executor &executor)
        : m_timer(executor)
    {}

    /// Delivers the value. Thread-safe.
    void put(T value)
    {
        boost::asio::post(m_timer.get_executor(),
                          [self = this->shared_from_this(), value = std::move(value)]() mutable {
                              if (self->m_value)
                                  return;
                              self->m_value = std::move(value);
                              self->m_timer.cancel();
                          });
    }

    /// Waits for the value. Returns nothing after `timeout`; a later call may still receive the value.
    [[nodiscard]] std::optional<T> wait(std::chrono::milliseconds timeout, const Fiber &fiber)
    {
        if (!m_value) {
            m_timer.expires_after(timeout);
            boost::system::error_code ignored;
            m_timer.async_wait(fiber[ignored]);
        }
        return m_value;
    }

private:
    boost::asio::steady_timer m_timer;
    std::optional<T> m_value;
};

} // namespace chestnutsill
