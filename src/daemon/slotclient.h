#pragma once

#include "chestnutsill/net/fiber.h"
#include "chestnutsill/peer/peernode.h"
#include "chestnutsill/policy/pooltypes.h"
#include "daemon/clusterview.h"
#include "daemon/identity.h"
#include "daemon/localpools.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace chestnutsill {

/// A request's need for a slot on an upstream of a model.
struct SlotDemand
{
    std::string model;
    /// The request sent to each home, with a new ticket each time.
    SlotRequest request;
};

/// A grant that this instance holds.
struct HeldGrant
{
    Grant grant;
    std::string pool;
    /// Instant by which sending must begin.
    Instant useBy{};
};

/// Acquires slots from the homes of pools, at this instance or at peers, and releases them. Thread-safe.
class SlotClient
{
public:
    SlotClient(boost::asio::io_context &io, ClusterView &view, LocalPools &localPools, Identity identity);

    /// Sets the peer node. Call once, before any other function.
    void setPeers(PeerNode *peers) noexcept { m_peers = peers; }

    /// Waits for a slot on an upstream of the model until `demand.request.startBy`, or until `isAbandoned`
    /// returns true. Tries the least loaded pool first. Returns the last refusal if no slot was granted,
    /// without waiting further when the request is quarantined or would be late.
    [[nodiscard]] std::variant<HeldGrant, RefusalReason>
    acquire(const SlotDemand &demand, const std::function<bool()> &isAbandoned, const Fiber &fiber);

    /// Releases a slot. Retries until the home confirms it, no instance is the pool's home, or the retry
    /// limit is reached. Each retry goes to the pool's home at that time.
    void release(const HeldGrant &held, const Release &ended);

    /// Reports the slots held to homes that have changed since the grant. Call it periodically.
    void reportToNewHomes();

    /// Number of slots held.
    [[nodiscard]] std::size_t heldCount();

private:
    struct Holding
    {
        HeldSlot slot;
        /// Name of the home that the slot was granted by or reported to; empty after a failed report.
        std::string home;
    };

    /// Names of the pools to try, the least loaded first.
    [[nodiscard]] std::vector<std::string> poolsByLoad(const SlotDemand &demand);
    [[nodiscard]] std::variant<HeldGrant, RefusalReason> acquireFrom(const std::string &pool,
                                                                     const SlotDemand &demand,
                                                                     const std::function<bool()> &isAbandoned,
                                                                     const Fiber &fiber);
    void sendSlotRequest(const std::string &pool, const Member &home, const SlotRequest &request,
                         std::function<void(Decision)> done);
    void sendRelease(const std::string &pool, const Release &ended, int attemptsLeft);

    boost::asio::io_context &m_io;
    ClusterView &m_view;
    LocalPools &m_localPools;
    const Identity m_identity;
    PeerNode *m_peers = nullptr;
    std::atomic<std::uint64_t> m_nextTicket = 1;
    std::mutex m_mutex;
    std::map<Ticket, Holding> m_holdings;
};

} // namespace chestnutsill
