#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace chestnutsill {

/// A field of the query of a request target, as it is before it is encoded.
struct QueryField
{
    std::string_view name;
    std::string_view value;
};

/// Returns a request target of a path and query fields. Bytes of names and values that have a meaning in a
/// query, or none in a target, are percent-encoded.
[[nodiscard]] std::string queryTarget(std::string_view path, std::initializer_list<QueryField> fields);

} // namespace chestnutsill
