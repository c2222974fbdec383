#pragma once

#include "chestnutsill/net/fiber.h"
#include "chestnutsill/peer/peernode.h"
#include "daemon/capacity.h"
#include "daemon/clusterview.h"
#include "daemon/homes.h"
#include "daemon/identity.h"

#include <atomic>
#include <functional>

namespace chestnutsill {

/// Exchanges heartbeats with peers: who is reachable, which configuration and list each has, the load of
/// pools. A configuration that a peer has and this instance has not is fetched from it. Safe from any thread.
class Gossip
{
public:
    Gossip(ClusterView &view, Homes &homes, Capacity &capacity, Identity identity,
           const std::atomic<bool> &leaving);

    /// Connects to peers. Call once, before any other function.
    void setPeers(PeerNode *peers) noexcept { m_peers = peers; }

    /// What this instance tells its peers now.
    [[nodiscard]] Heartbeat own();

    /// Takes in a peer's heartbeat.
    void heard(const Heartbeat &heartbeat);

    /// Calls something for the peer address of each listed peer.
    void forEachPeer(const std::function<void(const Member &)> &each) const;

    /// Sends heartbeats for ever.
    void run(const Fiber &fiber);

private:
    void sendTo(const Member &member);
    void fetchFrom(const std::string &peerAddress);

    ClusterView &m_view;
    Homes &m_homes;
    Capacity &m_capacity;
    const Identity m_identity;
    const std::atomic<bool> &m_leaving;
    PeerNode *m_peers = nullptr;
};

} // namespace chestnutsill
