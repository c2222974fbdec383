#pragma once

#include <optional>
#include <string_view>

namespace chestnutsill {

/// Tells a caller whether its request may have had an effect on an upstream. It travels with a request
/// through every stage and reaches the caller as the header `chestnutsill-verdict`.
enum class Verdict {
    /// The upstream ran the request and its whole answer is attached.
    Answered,
    /// No upstream has run the request under this request id, and none will.
    NotRun,
    /// An upstream may have run the request, in part or as a whole.
    MayHaveRun,
};

/// The wire form of a verdict: `answered`, `not-run` or `may-have-run`.
[[nodiscard]] std::string_view toString(Verdict verdict) noexcept;

/// Reads the wire form of a verdict. Returns nothing for any other text.
[[nodiscard]] std::optional<Verdict> verdictFromString(std::string_view text) noexcept;

} // namespace chestnutsill
