#pragma once

#include "history.h"
#include "site.h"

#include <string>
#include <vector>

namespace chestnutsill::soak {

/// Checks that every instance serves each kind of request again after all faults have ended. Returns the
/// violations found.
[[nodiscard]] std::vector<std::string> checkRecovery(support::Site &site);

/// Checks the guarantees to callers against the history of the run and the logs of the upstreams. Returns the
/// violations found, including those recorded during the run.
[[nodiscard]] std::vector<std::string> check(const support::Site &site, const History &history);

} // namespace chestnutsill::soak
