#pragma once

#include "chestnutsill/config/validationerror.h"
#include "chestnutsill/policy/poolhome.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutsill {

/// The platform's list of instances.
struct InstanceList
{
    /// Entry instances, sorted by name.
    std::vector<Member> members;
    /// Names of upstreams that are leaving.
    std::vector<std::string> leavingUpstreams;

    friend bool operator==(const InstanceList &, const InstanceList &) = default;
};

/// Reads a list `{"entries":[{name,zone,address,peer,state}],"upstreams":[{name,state}]}` with states `live`
/// and `leaving`. Returns nothing when it is invalid; `errors` then names every fault.
[[nodiscard]] std::optional<InstanceList> parseInstanceList(std::string_view text, ValidationErrors &errors);

} // namespace chestnutsill
