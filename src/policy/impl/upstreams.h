#pragma once

#include "chestnutsill/policy/pool.h"

#include <string>

namespace chestnutsill::impl {

/// Takes the upstream for cold: it receives its cold limit until completed runs have earned it more.
void enterCold(UpstreamState &upstream);

/// Learns from the end of a run: speed, ramp, incarnation, need of a new report.
void applyOutcome(PoolState &pool, UpstreamState &upstream, const UpstreamState::Slot &slot,
                  const Release &ended, Instant now);

/// The crash of one incarnation, with all that ran on it.
[[nodiscard]] CrashReport crashOf(const UpstreamState &upstream, const std::string &incarnation);

} // namespace chestnutsill::impl
