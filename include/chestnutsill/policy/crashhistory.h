#pragma once

#include "chestnutsill/policy/instant.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace chestnutsill {

/// Fingerprint of a request's content and account, by which a request that crashes upstreams is known again
/// under a new request id.
[[nodiscard]] std::uint64_t fingerprintOf(std::string_view account, std::string_view body) noexcept;

/// Which fingerprints were running when upstreams crashed. Each crash counts once, however often it is
/// reported. Memory is bounded: the oldest crash is forgotten first. Not thread-safe.
class CrashHistory
{
public:
    /// How long a crash is remembered.
    static constexpr std::chrono::minutes Retention{10};
    /// Most crashes remembered.
    static constexpr std::size_t MaxCrashes = 1024;

    /// Records that these fingerprints were running when this incarnation of the upstream crashed.
    void recordCrash(std::string_view upstream, std::string_view incarnation,
                     std::span<const std::uint64_t> fingerprints, Instant now);

    /// Clears a fingerprint that has since completed.
    void clear(std::uint64_t fingerprint);

    /// Number of remembered crashes in which the fingerprint was running.
    [[nodiscard]] int strikes(std::uint64_t fingerprint, Instant now);

    /// When the last crash in which the fingerprint was running was recorded; nothing when there is none.
    [[nodiscard]] std::optional<Instant> lastCrash(std::uint64_t fingerprint) const;

    /// Number of remembered fingerprints.
    [[nodiscard]] std::size_t size() const noexcept { return m_records.size(); }

private:
    struct Crash
    {
        std::string id;
        Instant at{};
        std::unordered_set<std::uint64_t> fingerprints;
    };

    struct Record
    {
        int strikes = 0;
        Instant last{};
    };

    void forgetOldest();
    void forgetExpired(Instant now);

    std::deque<Crash> m_crashes;
    std::unordered_map<std::uint64_t, Record> m_records;
};

} // namespace chestnutsill
