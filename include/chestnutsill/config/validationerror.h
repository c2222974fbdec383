#pragma once

#include <string>
#include <vector>

namespace chestnutsill {

/// One thing that is wrong with a document.
struct ValidationError
{
    /// JSON path of the field, for example `classes[2].tier`.
    std::string path;
    std::string message;

    friend bool operator==(const ValidationError &, const ValidationError &) = default;
};

/// All errors found, in document order.
using ValidationErrors = std::vector<ValidationError>;

} // namespace chestnutsill
