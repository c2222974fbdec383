#pragma once

#include "chestnutsill/policy/answer.h"
#include "chestnutsill/policy/instant.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace chestnutsill {

/// What the owner of a request id must do with a request that carries it.
enum class Claim {
    /// The caller of `claim` has the exclusive right to run the request and must call `finish`.
    Run,
    /// The request is running under another claim; wait for its outcome.
    Join,
    /// The outcome is known; return it again.
    Replay,
    /// The id has expired and its outcome is unknown, so the request may have run.
    Expired,
    /// The table is full; the request must not run now.
    Full,
};

/// Deduplicates requests by id at the owner: lets each id run at most once and keeps its outcome until the
/// id has expired. A refusal is an outcome too: an id once answered `NotRun` never runs later, even when a
/// delayed copy of the request arrives. Not thread-safe; shard by id and lock each shard.
class DeduplicationTable
{
public:
    /// A table for at most `maxEntries` ids and `maxBytes` of stored answer bodies.
    DeduplicationTable(std::size_t maxEntries, std::size_t maxBytes);

    /// Decides what to do with a request that arrived at `now`. `expiry` is the end of the id's lifetime.
    [[nodiscard]] Claim claim(std::string_view id, Instant expiry, Instant now);

    /// Records the outcome of a running request. Has no effect when the id is unknown or its outcome is
    /// known already. An answer that exceeds the remaining bytes is replaced by a refusal `outcome-not-kept`
    /// with the verdict `MayHaveRun`, or `NotRun` if the answer had it.
    void finish(std::string_view id, Answer answer);

    /// The outcome of an id, or null while it runs or when it is unknown. Valid until the next call that
    /// changes the table.
    [[nodiscard]] const Answer *outcome(std::string_view id) const;

    /// Number of stored ids.
    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }

private:
    struct Entry
    {
        bool finished = false;
        Answer answer;
    };

    void removeExpired(Instant now);

    std::size_t m_maxEntries;
    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    std::unordered_map<std::string, Entry> m_entries;
    std::multimap<Instant, std::string> m_byExpiry;
};

} // namespace chestnutsill
