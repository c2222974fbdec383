#pragma once

#include "daemon/settings.h"

#include <memory>

namespace chestnutsill {

/// The daemon on its own interface: owns all components and connects them.
class Daemon
{
public:
    /// Opens all listeners. Throws `std::runtime_error` if one cannot be opened.
    explicit Daemon(const Settings &settings);
    ~Daemon();

    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Serves until SIGTERM or SIGINT, then drains: callers get the addresses of other instances at once,
    /// requests are still accepted for the drain time, and those in progress are completed.
    void run();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace chestnutsill
