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

/// Selects one of the candidates, of which there is at least one, for a prompt. `speed` estimates the service
/// time of an engine; `seed` differs for each request.
using Policy =
    std::function<UpstreamSelection(std::span<const UpstreamCandidate> candidates, const Prompt &prompt,
                                    const ServiceTimeModel &speed, std::uint64_t seed)>;

/// Returns the policy of this name, or `std::nullopt`. `place` is the policy of the daemon; `stay` is the
/// same without fetching cached tokens from other engines; `least` selects, of two random upstreams, the one
/// with fewer requests in progress; `hash` selects by rendezvous hash of the last shared prompt part,
/// whatever the load.
[[nodiscard]] std::optional<Policy> policyOf(std::string_view name);

/// Names of all policies.
[[nodiscard]] std::vector<std::string> policyNames();

} // namespace chestnutsill::emulator
