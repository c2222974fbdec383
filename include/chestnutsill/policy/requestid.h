#pragma once

#include "chestnutsill/policy/instant.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chestnutsill {

/// The id of a request that may not be repeated. It names the one process that has the right to run it, so
/// that no other process ever needs to know whether the request was run.
///
/// Text form: `<owner>.<incarnation>.<epoch>.<nonce>`, where the incarnation is 16 hexadecimal digits, the
/// epoch is decimal seconds of the owner's own clock, and the nonce is chosen by the caller.
struct RequestId
{
    /// Name of the owning instance.
    std::string owner;
    /// Random number that the owner drew when its process started.
    std::uint64_t incarnation = 0;
    /// Seconds of the owner's clock when the prefix was published.
    std::uint64_t epoch = 0;
    /// Caller's part, 8 to 64 letters, digits, hyphens or underscores.
    std::string nonce;
};

/// How long after its epoch an id may still start a run.
inline constexpr seconds RequestIdLifetime{60};

/// Reads the text form. Returns nothing when it is malformed, and then sets `reason` to the part at fault.
[[nodiscard]] std::optional<RequestId> parseRequestId(std::string_view text, std::string &reason);

/// The part of an id that an owner publishes, with its trailing dot; the caller appends a nonce.
[[nodiscard]] std::string requestIdPrefix(std::string_view owner, std::uint64_t incarnation, Instant now);

/// The whole text form.
[[nodiscard]] std::string toString(const RequestId &id);

/// The instant of the owner's clock after which the id may not start a run.
[[nodiscard]] Instant expiryOf(const RequestId &id) noexcept;

/// Whether a name may stand in a request id: 1 to 64 letters, digits, hyphens or underscores.
[[nodiscard]] bool isValidName(std::string_view name) noexcept;

} // namespace chestnutsill
