#pragma once

#include "chestnutsill/policy/upstreamselection.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutsill::emulator {

/// Chooses one of the candidates for a prompt at engines of a speed; `seed` differs from request to request.
/// The candidates are never empty.
using Policy =
    std::function<UpstreamSelection(std::span<const UpstreamCandidate> candidates, const Prompt &prompt,
                                    const ServiceTimeModel &speed, std::uint64_t seed)>;

/// The policy of this name, or nothing. `place` is the one of the product, `stay` the same without fetching
/// from the memory of other engines; `least` takes of two random
/// upstreams the one with less in progress; `hash` the first by rendezvous hash of the last shared part,
/// whatever its load.
[[nodiscard]] std::optional<Policy> policyOf(std::string_view name);

/// Names that `policyOf` knows.
[[nodiscard]] std::vector<std::string> policyNames();

} // namespace chestnutsill::emulator
