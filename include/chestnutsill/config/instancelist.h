#pragma once

#include "chestnutsill/config/validationerror.h"
#include "chestnutsill/policy/poolhome.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutsill {

/// The platform's list of instances and of upstreams that are leaving.
struct InstanceList
{
    /// Entry instances, sorted by name.
    std::vector<Member> members;
    /// Names of the upstreams that drain before they stop.
    std::vector<std::string> leavingUpstreams;

    friend bool operator==(const InstanceList &, const InstanceList &) = default;
};

/// Parses a list `{"entries":[{name,zone,address,peer,state}],"upstreams":[{name,state}]}`, where `state` is
/// `live` or `leaving`. Returns `std::nullopt` when it is invalid and adds every error to `errors`.
[[nodiscard]] std::optional<InstanceList> parseInstanceList(std::string_view text, ValidationErrors &errors);

} // namespace chestnutsill
