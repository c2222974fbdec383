#include "chestnutsill/policy/parthistory.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace chestnutsill {

PartHistory::Record &PartHistory::touch(std::uint64_t part)
{
    if (m_recent.size() >= MaxParts / 2 && !m_recent.contains(part))
        m_older = std::exchange(m_recent, {});
    const auto [recent, isNew] = m_recent.try_emplace(part);
    if (const auto older = isNew ? m_older.find(part) : m_older.end(); older != m_older.end()) {
        recent->second = older->second;
        m_older.erase(older);
    }
    return recent->second;
}

PartHistory::Record PartHistory::find(std::uint64_t part) const
{
    for (const Records *records : {&m_recent, &m_older}) {
        if (const auto found = records->find(part); found != records->end())
            return found->second;
    }
    return {};
}

void PartHistory::recordServed(std::span<const std::uint64_t> parts, Instant now)
{
    for (const std::uint64_t part : parts) {
        Record &record = touch(part);
        record.servedAt = now;
        record.failures = 0;
    }
}

void PartHistory::recordBroken(std::span<const std::uint64_t> parts, Instant now)
{
    for (const std::uint64_t part : parts) {
        Record &record = touch(part);
        if (record.failures > 0 && now - record.brokenAt < CrashingParts::SameFailure)
            continue;
        record.brokenAt = now;
        ++record.failures;
    }
}

std::vector<SuspectPart> PartHistory::suspects(std::span<const std::uint64_t> parts, std::size_t max) const
{
    struct Candidate
    {
        int failures = 0;
        Instant servedAt{};
        std::size_t position = 0;
    };
    const auto isMoreSuspect = [](const Candidate &a, const Candidate &b) {
        return std::tuple(b.failures, a.servedAt) < std::tuple(a.failures, b.servedAt);
    };
    std::vector<Candidate> candidates;
    candidates.reserve(parts.size());
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const Record record = find(parts[i]);
        candidates.push_back({record.failures, record.servedAt, i});
    }
    std::stable_sort(candidates.begin(), candidates.end(), isMoreSuspect);
    if (candidates.size() > max) {
        // Of the parts that are as suspect as the first one that is too many, those in the middle are left
        // out.
        const auto [first, last] =
            std::equal_range(candidates.begin(), candidates.end(), candidates[max], isMoreSuspect);
        const std::ptrdiff_t kept = static_cast<std::ptrdiff_t>(max) - (first - candidates.begin());
        candidates.erase(first + (kept + 1) / 2, last - kept / 2);
        candidates.resize(max);
    }
    std::vector<SuspectPart> suspects;
    suspects.reserve(candidates.size());
    for (const Candidate &candidate : candidates) {
        const std::size_t following = parts.size() - 1 - candidate.position;
        suspects.push_back({parts[candidate.position],
                            static_cast<std::uint8_t>(std::min<std::size_t>(
                                following, std::numeric_limits<decltype(SuspectPart::following)>::max()))});
    }
    return suspects;
}

} // namespace chestnutsill
