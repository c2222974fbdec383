#pragma once

#include "history.h"
#include "site.h"

#include <atomic>
#include <cstdint>
#include <thread>
#include <vector>

namespace chestnutsill::soak {

/// Callers that send requests of all kinds to all instances, leaving or not, until it is stopped.
class Load
{
public:
    Load(support::Site &site, History &history, std::uint64_t seed);
    ~Load();

    Load(const Load &) = delete;
    Load &operator=(const Load &) = delete;

    /// Waits for the requests in progress.
    void stop();

private:
    void run(int caller, std::uint64_t seed);

    support::Site &m_site;
    History &m_history;
    std::atomic<bool> m_stopped = false;
    std::vector<std::thread> m_callers;
};

} // namespace chestnutsill::soak
