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

/// Fingerprint of the client account and content of a request. It identifies a request that crashes upstreams
/// when it is sent again under a new request id.
[[nodiscard]] std::uint64_t fingerprintOf(std::string_view account, std::string_view body) noexcept;

/// Fingerprints of the requests that were running when upstreams crashed. A crash that is reported repeatedly
/// counts once. Memory use is bounded: the oldest crash is evicted first. Not thread-safe.
class CrashHistory
{
public:
    /// Time for which a crash is kept.
    static constexpr std::chrono::minutes Retention{10};
    /// Maximum number of crashes kept.
    static constexpr std::size_t MaxCrashes = 1024;

    /// Adds a strike to requests that were running when an incarnation of the upstream crashed, except to
    /// those that already have one for this crash.
    void recordCrash(std::string_view upstream, std::string_view incarnation,
                     std::span<const std::uint64_t> fingerprints, Instant now);

    /// Removes all strikes of a request, which has completed.
    void clear(std::uint64_t fingerprint);

    /// Number of kept crashes during which the request was running.
    [[nodiscard]] int strikes(std::uint64_t fingerprint, Instant now);

    /// When the last crash during which the request was running was recorded, or nothing if there is none.
    [[nodiscard]] std::optional<Instant> lastCrash(std::uint64_t fingerprint) const;

    /// Number of fingerprints with strikes.
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
        Instant lastCrashAt{};
    };

    void forgetOldest();
    void forgetExpired(Instant now);

    std::deque<Crash> m_crashes;
    std::unordered_map<std::uint64_t, Record> m_records;
};

} // namespace chestnutsill
