#pragma once

#include "chestnutsill/policy/pool.h"

#include <string>

namespace chestnutsill::impl {

/// Puts the upstream into cold start: it is limited to its cold slots until completed requests raise the
/// limit.
void enterCold(UpstreamState &upstream);

/// Updates the upstream at the end of a run (time to first token, cold start limit, incarnation, need of a
/// new report) and the pool (hold time, completed fingerprints).
void applyOutcome(PoolState &pool, UpstreamState &upstream, const UpstreamState::Slot &slot,
                  const Release &ended, Instant now);

/// Report on the crash of one incarnation, with the fingerprints that were running on it.
[[nodiscard]] CrashReport crashReportOf(const UpstreamState &upstream, const std::string &incarnation);

} // namespace chestnutsill::impl
