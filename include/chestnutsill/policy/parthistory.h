#pragma once

#include "chestnutsill/policy/crashingparts.h"
#include "chestnutsill/policy/instant.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace chestnutsill {

/// What has become of the prompt parts that this instance has sent lately. Selects the parts of a broken
/// request that are reported as suspects, of which there may be far more than a report holds. Answers no
/// load.
///
/// A part is the more suspect, the more often it broke since it was last served; of parts that broke equally
/// often, the one that was served last is the least suspect. So parts that many requests share are selected
/// last, while requests with them are served, wherever they stand in the prompt. Memory use is bounded: the
/// parts that were seen longest ago are evicted. Not thread-safe.
class PartHistory
{
public:
    /// Maximum number of parts kept. A prompt of 16,000 tokens has 250 parts of 64 tokens.
    static constexpr std::size_t MaxParts = 8192;

    /// Records that a request with these parts was served.
    void recordServed(std::span<const std::uint64_t> parts, Instant now);

    /// Records that the connection of a request with these parts broke. Connections that break within
    /// `CrashingParts::SameFailure` of each other count once for each part.
    void recordBroken(std::span<const std::uint64_t> parts, Instant now);

    /// The most suspect ones among the parts of a prompt, which are given in its order: at most `max`, the
    /// most suspect first. Of parts that can't be told apart, the first and the last ones are selected.
    [[nodiscard]] std::vector<SuspectPart> suspects(std::span<const std::uint64_t> parts,
                                                    std::size_t max) const;

    /// Number of parts kept.
    [[nodiscard]] std::size_t size() const noexcept { return m_recent.size() + m_older.size(); }

private:
    struct Record
    {
        Instant servedAt{};
        Instant brokenAt{};
        /// Failures since it was last served.
        int failures = 0;
    };

    using Records = std::unordered_map<std::uint64_t, Record>;

    [[nodiscard]] Record &touch(std::uint64_t part);
    [[nodiscard]] Record find(std::uint64_t part) const;

    /// Parts that were seen since the last eviction, and those seen before. When the recent ones fill half of
    /// the room, the older ones are evicted.
    Records m_recent;
    Records m_older;
};

} // namespace chestnutsill
