#pragma once

#include "chestnutsill/config/validationerror.h"
#include "chestnutsill/policy/configuration.h"

#include <optional>
#include <string>
#include <string_view>

namespace chestnutsill {

/// Parses and validates a configuration document (JSON). Returns `std::nullopt` when it is invalid and adds
/// every error to `errors`. The result depends on the text alone, so that all instances accept or reject the
/// same documents.
[[nodiscard]] std::optional<Configuration> parseConfiguration(std::string_view text,
                                                              ValidationErrors &errors);

/// Serializes a configuration to a document that `parseConfiguration` parses to an equal value.
[[nodiscard]] std::string writeConfiguration(const Configuration &configuration);

/// Takes an availability zone out of service (`out`) or puts it back into service. Returns the configuration
/// with its version incremented, or `std::nullopt` when no zone has this name.
[[nodiscard]] std::optional<Configuration> withZoneOutOfService(Configuration base, std::string_view zone,
                                                                bool out);

/// Does the same as `withZoneOutOfService` for a single upstream.
[[nodiscard]] std::optional<Configuration> withUpstreamOutOfService(Configuration base,
                                                                    std::string_view upstream, bool out);

} // namespace chestnutsill
