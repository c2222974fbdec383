#pragma once

#include "chestnutsill/net/fiber.h"
#include "chestnutsill/policy/peertypes.h"
#include "chestnutsill/policy/pool.h"
#include "chestnutsill/policy/poolhome.h"
#include "daemon/clusterview.h"
#include "daemon/identity.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace chestnutsill {

/// The pools whose home is this instance: decides on slot requests from all instances. Each pool has its own
/// lock. Thread-safe.
class LocalPools
{
public:
    using Done = std::function<void(Decision)>;

    /// `onCrash` is called for each crash of an upstream, with the fingerprints that were running on it.
    LocalPools(boost::asio::io_context &io, ClusterView &view, Identity identity,
               std::function<void(const CrashReport &)> onCrash);

    /// Requests a slot. `done` is called once, from any thread, when the request is granted or refused.
    void requestSlot(const std::string &pool, SlotRequest request, Done done);

    /// Releases a slot or withdraws a waiting request. Unknown pools and tickets are ignored.
    void release(const std::string &pool, const Release &ended);

    /// Records a slot that the pool's previous home granted.
    void adopt(const HeldSlot &held);

    /// Records a crash in all pools.
    void recordCrash(const CrashReport &crash);

    /// Records in all pools that a request with this fingerprint completed.
    void recordCompletion(std::uint64_t fingerprint);

    /// Records contact with an instance, and drops the slots and waiting requests of its other incarnations.
    void recordHolderAlive(const std::string &holder, std::uint64_t incarnation);

    /// Records that an instance's process has ended, and drops its slots and waiting requests.
    void recordHolderGone(const std::string &holder);

    /// Load of the pools whose home is this instance and that may grant slots now.
    [[nodiscard]] std::vector<PoolSummary> summaries();

    /// State of the pools whose home is this instance, as JSON text for `/state`.
    [[nodiscard]] std::string stateJson();

    /// Updates the pools and probes their upstreams periodically, until the process ends.
    void run(const Fiber &fiber);

private:
    struct Pool;
    using Update = std::function<void(PoolState &, Instant, std::vector<Decision> &)>;

    [[nodiscard]] std::shared_ptr<Pool> findPool(const std::string &pool);
    [[nodiscard]] std::vector<std::shared_ptr<Pool>> poolList();
    void update(Pool &pool, const Update &change);
    void tickPool(Pool &pool, const Configuration &configuration, const InstanceList &list);
    static void relinquishPool(Pool &pool);
    void addPools(const Configuration &configuration);
    void probe(const std::shared_ptr<Pool> &pool, const UpstreamSpec &spec, const Fiber &fiber);
    void startProbes(const std::shared_ptr<Pool> &pool);

    boost::asio::io_context &m_io;
    ClusterView &m_view;
    const Identity m_identity;
    const std::function<void(const CrashReport &)> m_onCrash;
    std::mutex m_mutex;
    /// All pools of the configuration, also those whose home is another instance.
    std::map<std::string, std::shared_ptr<Pool>> m_pools;
};

} // namespace chestnutsill
