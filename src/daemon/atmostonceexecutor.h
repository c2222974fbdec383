#pragma once

#include "chestnutsill/net/fiber.h"
#include "chestnutsill/policy/answer.h"
#include "chestnutsill/policy/deduplicationtable.h"
#include "chestnutsill/policy/requestid.h"

#include <array>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace chestnutsill {

/// Runs each request that this instance owns at most once. State is sharded by request id, with a lock for
/// each shard. Thread-safe.
class AtMostOnceExecutor
{
public:
    /// Runs the request and returns its outcome.
    using Run = std::function<Answer()>;

    /// Maximum number of request ids, and of bytes of their stored answer bodies, in all shards together.
    static constexpr std::size_t MaxIds = 65536;
    static constexpr std::size_t MaxBytes = 32 << 20;

    /// Runs the request if its id is new; otherwise waits for, or returns, the outcome of the first run.
    /// Request ids are scoped to the client account. Refuses an id that expired without a stored outcome
    /// (410), a new id while its shard is full (503), and a request that has waited `timeout` for a run in
    /// progress (504).
    [[nodiscard]] Answer runOnce(const std::string &account, const RequestId &id, milliseconds timeout,
                                 const Run &run, const Fiber &fiber);

    /// Number of request ids stored.
    [[nodiscard]] std::size_t size();

private:
    static constexpr std::size_t ShardCount = 16;

    struct Shard
    {
        std::mutex mutex;
        DeduplicationTable table{MaxIds / ShardCount, MaxBytes / ShardCount};
        std::multimap<std::string, std::function<void(Answer)>> waiters;
    };

    [[nodiscard]] Answer join(Shard &shard, const std::string &key, milliseconds timeout, const Fiber &fiber);
    static void finish(Shard &shard, const std::string &key, const Answer &answer);

    std::array<Shard, ShardCount> m_shards;
};

} // namespace chestnutsill
