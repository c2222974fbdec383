#pragma once

#include <optional>
#include <string_view>

namespace chestnutsill {

/// Tells a caller whether an upstream may have run its request, and thus whether it can resend it safely. It
/// is passed through all stages of a request and reaches the caller in the header `chestnutsill-verdict`.
enum class Verdict {
    /// The upstream ran the request, and the response contains its whole answer.
    Answered,
    /// No upstream has run the request under this request id, and none will.
    NotRun,
    /// An upstream may have run the request, in part or completely.
    MayHaveRun,
};

/// The wire form of a verdict: `answered`, `not-run` or `may-have-run`.
[[nodiscard]] std::string_view toString(Verdict verdict) noexcept;

/// Parses the wire form of a verdict. Returns nothing for any other text.
[[nodiscard]] std::optional<Verdict> verdictFromString(std::string_view text) noexcept;

} // namespace chestnutsill
