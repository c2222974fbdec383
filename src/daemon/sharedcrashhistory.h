#pragma once

#include "chestnutsill/policy/crashhistory.h"
#include "chestnutsill/policy/crashingparts.h"
#include "chestnutsill/policy/parthistory.h"
#include "chestnutsill/policy/pool.h"
#include "daemon/localpools.h"

#include <functional>
#include <mutex>
#include <span>

namespace chestnutsill {

/// History of the requests that were running when upstreams crashed, and of their prompt parts, shared with
/// all peers: what this instance observes is sent to each of them at once. Thread-safe.
class SharedCrashHistory
{
public:
    using BroadcastCrash = std::function<void(const CrashReport &)>;
    using BroadcastCleared = std::function<void(std::uint64_t)>;

    /// `broadcastCrash` sends a crash report, and `broadcastCleared` the fingerprint of a completed request,
    /// to all peers.
    SharedCrashHistory(LocalPools &localPools, BroadcastCrash broadcastCrash,
                       BroadcastCleared broadcastCleared);

    /// Records a suspected crash of an upstream that this instance observed, and broadcasts it.
    void recordLocalCrash(const CrashReport &crash);

    /// Records a suspected crash that a peer observed.
    void recordPeerCrash(const CrashReport &crash);

    /// Records that a request with this fingerprint completed, and broadcasts it if the fingerprint had
    /// strikes. Cheap otherwise.
    void recordLocalCompletion(std::uint64_t fingerprint);

    /// Records a completion that a peer observed.
    void recordPeerCompletion(std::uint64_t fingerprint);

    /// Records that the connection of a run broke at an upstream, whose prompt has these shared parts in
    /// order, and broadcasts it.
    void recordBrokenRun(const std::string &upstream, const std::string &incarnation,
                         std::span<const std::uint64_t> parts);

    /// Records that a request with these shared parts was served, and broadcasts those that were suspected.
    void recordPartsServed(std::span<const std::uint64_t> parts);

    /// Whether any of the parts is banned now; see `CrashingParts`.
    [[nodiscard]] bool hasBannedPart(std::span<const std::uint64_t> parts);

    /// Number of strikes of the fingerprint: crashes during which a request with it was running, within
    /// `CrashHistory::Retention`.
    [[nodiscard]] int strikes(std::uint64_t fingerprint);

    /// Number of fingerprints with strikes.
    [[nodiscard]] std::size_t size();

private:
    LocalPools &m_localPools;
    const BroadcastCrash m_broadcastCrash;
    const BroadcastCleared m_broadcastCleared;
    std::mutex m_mutex;
    CrashHistory m_history;
    CrashingParts m_parts;
    PartHistory m_partHistory;
};

} // namespace chestnutsill
