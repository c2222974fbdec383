#pragma once

#include "chestnutsill/net/httpclient.h"
#include "chestnutsill/policy/pooltypes.h"

#include <optional>
#include <string>

namespace chestnutsill {

/// Reads an upstream's load report, `GET /load` with the body
/// `{"incarnation":text,"ready":bool,"running":number}`, where `running` is optional. The connection of
/// `client` stays open. Returns nothing and sets `reason` on failure.
[[nodiscard]] std::optional<UpstreamReport> readLoadReport(HttpClient &client, const std::string &upstream,
                                                           const Fiber &fiber, std::string &reason);

} // namespace chestnutsill
