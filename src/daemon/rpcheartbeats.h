#pragma once

#include "chestnutsill/net/fiber.h"
#include "chestnutsill/peer/peernode.h"
#include "daemon/clusterview.h"
#include "daemon/identity.h"
#include "daemon/localpools.h"
#include "daemon/slotclient.h"

#include <atomic>
#include <functional>

namespace chestnutsill {

/// Exchanges heartbeats with peers by RPC. A heartbeat shows that its sender is reachable, and carries the
/// version of the sender's configuration, a digest of its instance list and the load of its pools. A newer
/// configuration is fetched from the peer that has it. Thread-safe.
class RpcHeartbeats
{
public:
    RpcHeartbeats(ClusterView &view, LocalPools &localPools, SlotClient &slots, Identity identity,
                  const std::atomic<bool> &leaving);

    /// Sets the peer node. Call once, before any other function.
    void setPeers(PeerNode *peers) noexcept { m_peers = peers; }

    /// The current heartbeat of this instance.
    [[nodiscard]] Heartbeat ownHeartbeat();

    /// Records a peer's heartbeat, and fetches the peer's configuration if it is newer.
    void handleHeartbeat(const Heartbeat &heartbeat);

    /// Calls `each` for every listed member other than this instance.
    void forEachPeer(const std::function<void(const Member &)> &each) const;

    /// Sends heartbeats, reports slots to new homes and confirms the configuration by peers, periodically
    /// until the process ends.
    void run(const Fiber &fiber);

private:
    void sendTo(const Member &member);
    void fetchConfiguration(const std::string &peerAddress);

    ClusterView &m_view;
    LocalPools &m_localPools;
    SlotClient &m_slots;
    const Identity m_identity;
    const std::atomic<bool> &m_leaving;
    PeerNode *m_peers = nullptr;
};

} // namespace chestnutsill
