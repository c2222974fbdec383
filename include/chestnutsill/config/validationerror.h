#pragma once

#include <string>
#include <vector>

namespace chestnutsill {

/// One error of a JSON document.
struct ValidationError
{
    /// JSON path of the field, for example `classes[2].tier`.
    std::string path;
    std::string message;

    friend bool operator==(const ValidationError &, const ValidationError &) = default;
};

/// Errors in the order in which they were found.
using ValidationErrors = std::vector<ValidationError>;

} // namespace chestnutsill
