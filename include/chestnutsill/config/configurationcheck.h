#pragma once

#include "chestnutsill/config/finding.h"

namespace chestnutsill {

struct Configuration;

/// What is wrong with a valid configuration document: entries that can never be used.
[[nodiscard]] Findings checkConfiguration(const Configuration &configuration);

/// Differences from the configuration in force, in the order of `tableDifferences`: classes removed, accounts
/// removed, requests served by another model or in another way, deadlines shortened, and then all others. An
/// error is included if instances would not take the document because of its version.
[[nodiscard]] Findings configurationDifferences(const Configuration &inForce, const Configuration &next);

} // namespace chestnutsill
