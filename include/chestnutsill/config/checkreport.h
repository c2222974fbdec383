#pragma once

#include "chestnutsill/config/finding.h"

#include <cstdint>
#include <optional>
#include <string>

namespace chestnutsill {

/// Result of the check of a configuration.
struct CheckReport
{
    /// Version and deployment of the document; no version if the document can't be read, and no deployment
    /// for a routing table.
    std::optional<std::uint64_t> version;
    std::string deployment;
    Findings findings;
};

/// Whether the report has errors or warnings. Differences from the version in force alone are none.
[[nodiscard]] bool hasFaults(const CheckReport &report) noexcept;

/// The report as text, one finding a line.
[[nodiscard]] std::string toText(const CheckReport &report);

/// The report as a JSON object with `version`, `valid`, `findings` and `differences`.
[[nodiscard]] std::string toJson(const CheckReport &report);

} // namespace chestnutsill
