#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace chestnutsill::soak {

/// Stops and restarts the instances of a site in turn, in overlapping rounds, while upstreams fall silent for
/// a second and the table changes. Callers keep addresses for longer than directory responses allow and send
/// streams of seconds. Returns a line for each request that got no complete response without an excuse, or
/// whose response is not true.
[[nodiscard]] std::vector<std::string> runPlannedStops(std::uint64_t seed, int seconds, int instances,
                                                       int upstreams);

} // namespace chestnutsill::soak
