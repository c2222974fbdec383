#pragma once

#include <string>
#include <vector>

namespace chestnutsill {

/// One thing that is wrong with a document.
struct Fault
{
    /// JSON path of the field, for example `classes[2].tier`.
    std::string path;
    std::string message;

    friend bool operator==(const Fault &, const Fault &) = default;
};

/// All faults found, in document order.
using Faults = std::vector<Fault>;

} // namespace chestnutsill
