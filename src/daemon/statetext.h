#pragma once

#include "chestnutsill/policy/instant.h"

#include <string>

namespace chestnutsill {

struct RouterState;

/// Returns the state of an instance as a JSON document for operators: configuration version and age, live
/// instances, upstreams with their load and outlier detection, and availability zones that are out of
/// service.
[[nodiscard]] std::string stateText(const RouterState &state, Instant now);

} // namespace chestnutsill
