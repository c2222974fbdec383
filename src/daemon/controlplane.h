#pragma once

#include "chestnutsill/net/fiber.h"
#include "daemon/clusterview.h"

#include <string>

namespace chestnutsill {

/// Watches the configuration service for ever: `GET /config?after=<version>&waitMs=<time>` returns a newer
/// document, or status 304 when there is none after that time. Each call counts as one, also while it waits.
void watchConfiguration(ClusterView &view, const std::string &service, const Fiber &fiber);

/// Reads the instance list for ever: `GET /instances`.
void pollInstanceList(ClusterView &view, const std::string &service, const Fiber &fiber);

} // namespace chestnutsill
