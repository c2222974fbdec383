#pragma once

#include "chestnutsill/config/finding.h"

namespace chestnutsill {

struct TableDocument;

/// What is wrong with a routing table that can be read: entries that can never match, and limits that
/// contradict each other. Paths have the names of `Route`, `Service`, `ClientAccount` and `CallerLimits`, and
/// no message contains an API key.
[[nodiscard]] Findings checkTable(const TableDocument &table);

/// Differences from the table in force. Those that callers notice most come first: routes removed, keys
/// removed, requests served by another service or in another way, timeouts shortened and limits lowered, and
/// then all others. An error is included if instances would not take the table because of its version.
[[nodiscard]] Findings tableDifferences(const TableDocument &inForce, const TableDocument &next);

} // namespace chestnutsill
