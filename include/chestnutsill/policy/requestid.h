#pragma once

#include "chestnutsill/policy/instant.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chestnutsill {

/// The id of a request that must run at most once. It names its owner, the only process that may run the
/// request, so that no other process has to know whether it was run.
///
/// Text form: `<owner>.<incarnation>.<epoch>.<nonce>`, where the incarnation is 16 hexadecimal digits, the
/// epoch is decimal seconds of the owner's own clock, and the nonce is chosen by the caller.
struct RequestId
{
    /// Name of the owning instance.
    std::string owner;
    /// Random number drawn when the owner's process started.
    std::uint64_t incarnation = 0;
    /// Seconds of the owner's clock when the prefix was published.
    std::uint64_t epoch = 0;
    /// Chosen by the caller: 8 to 64 letters, digits, hyphens or underscores.
    std::string nonce;
};

/// Time after its epoch during which an id may start a run.
inline constexpr seconds RequestIdLifetime{60};

/// Parses the text form. Returns nothing when it is malformed, and sets `reason` to a description of the
/// malformed part.
[[nodiscard]] std::optional<RequestId> parseRequestId(std::string_view text, std::string &reason);

/// The prefix of an id that an owner publishes, with a trailing dot; the caller appends a nonce.
[[nodiscard]] std::string requestIdPrefix(std::string_view owner, std::uint64_t incarnation, Instant now);

/// The text form of an id.
[[nodiscard]] std::string toString(const RequestId &id);

/// The instant of the owner's clock from which on the id may not start a run.
[[nodiscard]] Instant expiryOf(const RequestId &id) noexcept;

/// Whether a name is valid in a request id: 1 to 64 letters, digits, hyphens or underscores.
[[nodiscard]] bool isValidName(std::string_view name) noexcept;

} // namespace chestnutsill
