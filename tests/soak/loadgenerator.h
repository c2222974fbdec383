#pragma once

#include "history.h"
#include "site.h"

#include <atomic>
#include <cstdint>
#include <random>
#include <thread>
#include <vector>

namespace chestnutsill::soak {

/// Threads that act as callers and send requests of all kinds to all instances, including leaving ones, over
/// connections that they keep open, until `stop`.
class LoadGenerator
{
public:
    LoadGenerator(support::Site &site, History &history, std::uint64_t seed);
    ~LoadGenerator();

    LoadGenerator(const LoadGenerator &) = delete;
    LoadGenerator &operator=(const LoadGenerator &) = delete;

    /// Stops sending and waits for the requests in progress.
    void stop();

private:
    void run(int caller, std::uint64_t seed);
    /// Receives a stream, and takes it up at other instances if it breaks off or is refused there.
    void receiveStream(RequestRecord request, std::mt19937_64 &random);

    support::Site &m_site;
    History &m_history;
    std::atomic<bool> m_stopped = false;
    std::vector<std::thread> m_callers;
};

} // namespace chestnutsill::soak
