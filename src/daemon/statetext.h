#pragma once

#include "chestnutsill/policy/instant.h"

#include <string>

namespace chestnutsill {

struct RouterState;

/// What an instance believes, as a JSON document for operators: configuration and its age, instances,
/// upstreams with load and judgement, availability zones that are out.
[[nodiscard]] std::string stateText(const RouterState &state, Instant now);

} // namespace chestnutsill
