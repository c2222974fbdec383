#include "daemon/atmostonceexecutor.h"

#include "chestnutsill/net/oneshotchannel.h"
#include "chestnutsill/policy/hash.h"
#include "daemon/identity.h"

namespace chestnutsill {

namespace {

constexpr std::string_view IdField = "chestnutsill-request-id";

} // namespace

Answer AtMostOnceExecutor::runOnce(const std::string &account, const RequestId &id, milliseconds timeout,
                                   const Run &run, const Fiber &fiber)
{
    const std::string key = account + '/' + toString(id);
    Shard &shard = m_shards[stableHash(key) % ShardCount];
    Claim claim = Claim::Full;
    {
        const std::lock_guard lock(shard.mutex);
        claim = shard.table.claim(key, expiryOf(id), now());
        if (claim == Claim::Replay)
            return *shard.table.outcome(key);
    }
    if (claim == Claim::Join)
        return join(shard, key, timeout, fiber);
    if (claim == Claim::Expired)
        return refusal(410, Verdict::MayHaveRun, "request-id-expired", IdField,
                       "the id has expired and its outcome is not stored");
    if (claim == Claim::Full)
        return refusal(503, Verdict::MayHaveRun, "too-many-request-ids", IdField,
                       "this instance cannot store another request id now");
    Answer answer = run();
    finish(shard, key, answer);
    return answer;
}

Answer AtMostOnceExecutor::join(Shard &shard, const std::string &key, milliseconds timeout,
                                const Fiber &fiber)
{
    auto channel = std::make_shared<OneShotChannel<Answer>>(fiber.get_executor());
    {
        const std::lock_guard lock(shard.mutex);
        if (const Answer *outcome = shard.table.outcome(key))
            return *outcome;
        shard.waiters.emplace(key, [channel](Answer answer) { channel->put(std::move(answer)); });
    }
    if (auto answer = channel->wait(timeout, fiber))
        return *answer;
    return refusal(504, Verdict::MayHaveRun, "still-running", IdField,
                   "the first request with this id is still running");
}

void AtMostOnceExecutor::finish(Shard &shard, const std::string &key, const Answer &answer)
{
    std::vector<std::function<void(Answer)>> waiters;
    {
        const std::lock_guard lock(shard.mutex);
        shard.table.finish(key, answer);
        const auto [first, last] = shard.waiters.equal_range(key);
        for (auto it = first; it != last; ++it)
            waiters.push_back(std::move(it->second));
        shard.waiters.erase(first, last);
    }
    for (const auto &waiter : waiters)
        waiter(answer);
}

std::size_t AtMostOnceExecutor::size()
{
    std::size_t size = 0;
    for (Shard &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        size += shard.table.size();
    }
    return size;
}

} // namespace chestnutsill
