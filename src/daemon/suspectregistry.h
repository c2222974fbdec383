#pragma once

#include "chestnutsill/policy/crashhistory.h"
#include "chestnutsill/policy/pool.h"
#include "daemon/homes.h"

#include <functional>
#include <mutex>

namespace chestnutsill {

/// This instance's share of the knowledge on requests that crash upstreams. What it learns itself is also
/// told to all peers at once. Safe from any thread.
class SuspectRegistry
{
public:
    using TellCrash = std::function<void(const CrashReport &)>;
    using TellCleared = std::function<void(std::uint64_t)>;

    /// `tellCrash` and `tellCleared` pass news on to all peers.
    SuspectRegistry(Homes &homes, TellCrash tellCrash, TellCleared tellCleared);

    /// Records a crash that this instance has seen.
    void sawCrash(const CrashReport &crash);

    /// Records a crash that a peer has seen.
    void heardCrash(const CrashReport &crash);

    /// Records that a request of this fingerprint completed. Cheap unless it was a suspect.
    void sawCompletion(std::uint64_t fingerprint);

    /// Records a completion that a peer has seen.
    void heardCompletion(std::uint64_t fingerprint);

    /// Number of crashes in which the fingerprint was running.
    [[nodiscard]] int strikes(std::uint64_t fingerprint);

    /// Number of suspected fingerprints.
    [[nodiscard]] std::size_t size();

private:
    Homes &m_homes;
    const TellCrash m_tellCrash;
    const TellCleared m_tellCleared;
    std::mutex m_mutex;
    CrashHistory m_suspects;
};

} // namespace chestnutsill
