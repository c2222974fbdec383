#pragma once

#include "chestnutsill/policy/instant.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace chestnutsill {

/// Upstreams that have refused a request of this instance and said for how long they want no more from it.
/// Other instances are not concerned. Not thread-safe.
class UpstreamPauses
{
public:
    /// Longer pauses are shortened to this.
    static constexpr std::chrono::minutes MaxPause{10};

    /// Records that the process of an upstream with this start wants no requests for a time. It does not end
    /// an earlier pause of the same process. Returns the end of the pause.
    Instant record(std::string_view upstream, std::int64_t startUnixMs, milliseconds pause, Instant now);

    /// The end of the pause of an upstream's process; nothing if it accepts requests.
    [[nodiscard]] std::optional<Instant> pausedUntil(std::string_view upstream, std::int64_t startUnixMs,
                                                     Instant now) const;

    /// Drops the pauses that have ended.
    void expire(Instant now);

    /// Number of pauses that are kept.
    [[nodiscard]] std::size_t size() const noexcept { return m_pauses.size(); }

private:
    struct Pause
    {
        std::int64_t startUnixMs = 0;
        Instant until{};
    };

    std::map<std::string, Pause, std::less<>> m_pauses;
};

} // namespace chestnutsill
