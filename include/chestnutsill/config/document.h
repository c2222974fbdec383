#pragma once

#include "chestnutsill/config/validationerror.h"
#include "chestnutsill/policy/configuration.h"

#include <optional>
#include <string>
#include <string_view>

namespace chestnutsill {

/// Reads a configuration document (JSON). Returns nothing when it is invalid; `errors` then names every
/// fault. The rule depends on the text alone, so that every instance accepts or refuses the same documents.
[[nodiscard]] std::optional<Configuration> parseConfiguration(std::string_view text,
                                                              ValidationErrors &errors);

/// Writes a configuration as a document that `parseConfiguration` reads back to an equal value.
[[nodiscard]] std::string writeConfiguration(const Configuration &configuration);

/// Takes an availability zone out of service or brings it back. Returns the next document with its version
/// one higher, or nothing when no zone has this name.
[[nodiscard]] std::optional<Configuration> withZoneOutOfService(Configuration base, std::string_view zone,
                                                                bool out);

/// Takes an upstream out of service or brings it back, as `withZoneOutOfService` does for a zone.
[[nodiscard]] std::optional<Configuration> withUpstreamOutOfService(Configuration base,
                                                                    std::string_view upstream, bool out);

} // namespace chestnutsill
