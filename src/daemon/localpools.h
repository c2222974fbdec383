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

/// The pools whose home is this instance: takes asks from all instances and decides on them. Each pool is a
/// shard under its own lock. Safe from any thread.
class LocalPools
{
public:
    using Done = std::function<void(Decision)>;

    /// `onCrash` is told of upstreams that crashed, with the fingerprints that ran there.
    LocalPools(boost::asio::io_context &io, ClusterView &view, Identity identity,
               std::function<void(const CrashReport &)> onCrash);

    /// Asks for a slot; `done` is called once, from any thread, when the ask is granted or refused.
    void requestSlot(const std::string &pool, SlotRequest request, Done done);

    /// Gives a slot back or withdraws an ask.
    void release(const std::string &pool, const Release &ended);

    /// Registers a slot granted by the pool's former home.
    void adopt(const HeldSlot &held);

    /// Tells all pools of a crash.
    void recordCrash(const CrashReport &crash);

    /// Tells all pools that a request of this fingerprint completed.
    void recordCompletion(std::uint64_t fingerprint);

    /// Records contact with an instance.
    void recordHolderAlive(const std::string &holder, std::uint64_t incarnation);

    /// Records that an instance's process is gone.
    void recordHolderGone(const std::string &holder);

    /// Load of the pools of which this instance is home now.
    [[nodiscard]] std::vector<PoolSummary> summaries();

    /// State of all pools as JSON text, for the dump.
    [[nodiscard]] std::string stateJson();

    /// Runs the home's regular work for ever.
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
    std::map<std::string, std::shared_ptr<Pool>> m_pools;
};

} // namespace chestnutsill
