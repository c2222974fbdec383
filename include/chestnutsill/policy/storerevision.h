#pragma once

#include <compare>
#include <cstdint>

namespace chestnutsill {

/// Position in the history of the store. When the store is restored from an older copy, it gives out
/// revisions again, in a higher era.
struct StoreRevision
{
    /// How often the store has been restored.
    std::uint64_t era = 0;
    std::uint64_t number = 0;

    auto operator<=>(const StoreRevision &) const = default;
};

} // namespace chestnutsill
