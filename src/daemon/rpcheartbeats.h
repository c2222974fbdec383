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

/// Exchanges heartbeats with peers: who is reachable, which configuration and list each has, the load of
/// pools. A configuration that a peer has and this instance has not is fetched from it. Safe from any thread.
class RpcHeartbeats
{
public:
    RpcHeartbeats(ClusterView &view, LocalPools &localPools, SlotClient &slots, Identity identity,
                  const std::atomic<bool> &leaving);

    /// Connects to peers. Call once, before any other function.
    void setPeers(PeerNode *peers) noexcept { m_peers = peers; }

    /// What this instance tells its peers now.
    [[nodiscard]] Heartbeat ownHeartbeat();

    /// Takes in a peer's heartbeat.
    void handleHeartbeat(const Heartbeat &heartbeat);

    /// Calls something for the peer address of each listed peer.
    void forEachPeer(const std::function<void(const Member &)> &each) const;

    /// Sends heartbeats for ever.
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
