#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace chestnutsill {

enum class Severity {
    /// The document is refused, or requests that it describes are never served.
    Error,
    /// A part of the document has no effect or contradicts another part.
    Warning,
    /// A difference from the version in force. It is no fault of the document.
    Change,
};

/// `error`, `warning` or `change`.
[[nodiscard]] std::string_view toString(Severity severity) noexcept;

/// One result of the check of a configuration.
struct Finding
{
    Severity severity = Severity::Error;
    /// JSON path of the entry or field, in the version in force if it starts with `against:`.
    std::string path;
    std::string message;

    friend bool operator==(const Finding &, const Finding &) = default;
};

using Findings = std::vector<Finding>;

} // namespace chestnutsill
