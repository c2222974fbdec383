#pragma once

#include "history.h"
#include "site.h"

#include <string>
#include <vector>

namespace chestnutsill::soak {

/// Whether every instance serves each kind of request again after the faults. Returns the broken promises.
[[nodiscard]] std::vector<std::string> checkRecovery(support::Site &site);

/// Checks the promises by what callers and upstreams have seen. Returns the broken ones.
[[nodiscard]] std::vector<std::string> check(const support::Site &site, const History &history);

} // namespace chestnutsill::soak
