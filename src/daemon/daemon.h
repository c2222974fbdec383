#pragma once

#include "daemon/settings.h"

#include <memory>

namespace chestnutsill {

/// One entry instance: wires all parts together.
class Daemon
{
public:
    /// Opens all listeners. Throws `std::runtime_error` when one can't be opened.
    explicit Daemon(const Settings &settings);
    ~Daemon();

    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Serves until SIGTERM or SIGINT, then drains: callers are sent elsewhere at once, requests are still
    /// accepted for the drain time, and those in progress end.
    void run();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace chestnutsill
