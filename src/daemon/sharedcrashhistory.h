#pragma once

#include "chestnutsill/policy/crashhistory.h"
#include "chestnutsill/policy/pool.h"
#include "daemon/localpools.h"

#include <functional>
#include <mutex>

namespace chestnutsill {

/// This instance's share of the knowledge on requests that crash upstreams. What it learns itself is also
/// told to all peers at once. Safe from any thread.
class SharedCrashHistory
{
public:
    using BroadcastCrash = std::function<void(const CrashReport &)>;
    using BroadcastCleared = std::function<void(std::uint64_t)>;

    /// `tellCrash` and `tellCleared` pass news on to all peers.
    SharedCrashHistory(LocalPools &localPools, BroadcastCrash broadcastCrash,
                       BroadcastCleared broadcastCleared);

    /// Records a crash that this instance has seen.
    void recordLocalCrash(const CrashReport &crash);

    /// Records a crash that a peer has seen.
    void recordPeerCrash(const CrashReport &crash);

    /// Records that a request of this fingerprint completed. Cheap unless it was a suspect.
    void recordLocalCompletion(std::uint64_t fingerprint);

    /// Records a completion that a peer has seen.
    void recordPeerCompletion(std::uint64_t fingerprint);

    /// Number of crashes in which the fingerprint was running.
    [[nodiscard]] int strikes(std::uint64_t fingerprint);

    /// Number of suspected fingerprints.
    [[nodiscard]] std::size_t size();

private:
    LocalPools &m_localPools;
    const BroadcastCrash m_broadcastCrash;
    const BroadcastCleared m_broadcastCleared;
    std::mutex m_mutex;
    CrashHistory m_history;
};

} // namespace chestnutsill
