#pragma once

#include "chestnutsill/policy/answer.h"
#include "chestnutsill/policy/instant.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace chestnutsill {

/// What an owner may do with a request whose id names it.
enum class Claim {
    /// The caller of `claim` has the sole right to run the request and must call `finish`.
    Run,
    /// Another claim runs the request now; wait for its outcome.
    Join,
    /// The outcome is known; repeat it.
    Replay,
    /// The id is past its lifetime and its outcome is not known, so it may have run.
    Expired,
    /// No room to remember another id; the request must not run now.
    Full,
};

/// The owner's memory of request ids: grants the right to run each at most once and keeps each outcome until
/// the id has expired. A refusal is an outcome too: an id once answered `NotRun` never runs later, even when
/// a delayed copy of the request arrives. Not thread-safe; shard by id and lock each shard.
class DeduplicationTable
{
public:
    /// A ledger for at most `maxEntries` ids and `maxBytes` of remembered answers.
    DeduplicationTable(std::size_t maxEntries, std::size_t maxBytes);

    /// Decides what to do with a request that arrived at `now`. `expiry` is the end of the id's lifetime.
    [[nodiscard]] Claim claim(std::string_view id, Instant expiry, Instant now);

    /// Records the outcome of a running request. Has no effect when the outcome is known already.
    void finish(std::string_view id, Answer answer);

    /// The outcome of an id, or null while it runs or when it is unknown. Valid until the next call that
    /// changes the ledger.
    [[nodiscard]] const Answer *outcome(std::string_view id) const;

    /// Number of remembered ids.
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
