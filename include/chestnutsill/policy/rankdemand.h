#pragma once

#include "chestnutsill/policy/instant.h"

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace chestnutsill {

/// Which priority ranks this instance has received requests of lately, by service, so that a rank counts as
/// urgent or not beside the requests that it competes with. Not thread-safe.
class RankDemand
{
public:
    /// Number of ranks; see `engineRank`.
    static constexpr std::size_t RankCount = 10;
    /// Time for which a request counts.
    static constexpr milliseconds Memory{1000};

    /// Records a request. Ranks out of range count as the nearest one.
    void record(std::string_view service, int rank, Instant now);

    /// Whether no request of a more urgent rank has been received lately.
    [[nodiscard]] bool isMostUrgent(std::string_view service, int rank, Instant now) const;

private:
    /// Time of the last request of each rank, by service.
    std::map<std::string, std::array<std::optional<Instant>, RankCount>, std::less<>> m_lastRequests;
};

} // namespace chestnutsill
