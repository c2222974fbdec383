#include "chestnutsill/policy/deduplicationtable.h"

#include <utility>

namespace chestnutsill {

DeduplicationTable::DeduplicationTable(std::size_t maxEntries, std::size_t maxBytes)
    : m_maxEntries(maxEntries)
    , m_maxBytes(maxBytes)
{}

Claim DeduplicationTable::claim(std::string_view id, Instant expiry, Instant now)
{
    removeExpired(now);
    const auto found = m_entries.find(std::string(id));
    if (found != m_entries.end())
        return found->second.finished ? Claim::Replay : Claim::Join;
    if (now >= expiry)
        return Claim::Expired;
    if (m_entries.size() >= m_maxEntries)
        return Claim::Full;
    m_entries.emplace(id, Entry{});
    m_byExpiry.emplace(expiry, id);
    return Claim::Run;
}

void DeduplicationTable::finish(std::string_view id, Answer answer)
{
    const auto found = m_entries.find(std::string(id));
    if (found == m_entries.end() || found->second.finished)
        return;
    if (m_bytes + answer.body.size() > m_maxBytes) {
        const Verdict verdict = answer.verdict == Verdict::NotRun ? Verdict::NotRun : Verdict::MayHaveRun;
        answer = refusal(503, verdict, "outcome-not-kept", "chestnutsill-request-id",
                         "the request has ended and its answer was too large to keep");
    }
    m_bytes += answer.body.size();
    found->second.finished = true;
    found->second.answer = std::move(answer);
}

const Answer *DeduplicationTable::outcome(std::string_view id) const
{
    const auto found = m_entries.find(std::string(id));
    if (found == m_entries.end() || !found->second.finished)
        return nullptr;
    return &found->second.answer;
}

void DeduplicationTable::removeExpired(Instant now)
{
    auto next = m_byExpiry.begin();
    while (next != m_byExpiry.end() && next->first <= now) {
        const auto entry = m_entries.find(next->second);
        const bool running = entry != m_entries.end() && !entry->second.finished;
        if (running) {
            ++next;
            continue;
        }
        if (entry != m_entries.end()) {
            m_bytes -= entry->second.answer.body.size();
            m_entries.erase(entry);
        }
        next = m_byExpiry.erase(next);
    }
}

} // namespace chestnutsill
