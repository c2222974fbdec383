#pragma once

#include "chestnutsill/net/fiber.h"
#include "daemon/clusterview.h"

#include <string>

namespace chestnutsill {

/// Long-polls the configuration service until the process ends: `GET /config?after=<version>&waitMs=<time>`
/// returns a newer document, or status 304 if there is none after that time. A poll counts as one call at the
/// service even while it waits.
void watchConfiguration(ClusterView &view, const std::string &service, const Fiber &fiber);

/// Polls the instance list, `GET /instances`, until the process ends.
void pollInstanceList(ClusterView &view, const std::string &service, const Fiber &fiber);

} // namespace chestnutsill
