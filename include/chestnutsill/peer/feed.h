#pragma once

#include "chestnutsill/policy/changelog.h"
#include "chestnutsill/policy/instant.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutsill {

/// Response of an instance to a follower, a peer that receives the changes of the store through it.
struct FeedAnswer
{
    std::vector<PublishedItem> items;
    /// Store revision up to which the instance has applied all changes.
    StoreRevision revision;
    /// Age of its confirmation that nothing newer is published; empty when it was never confirmed.
    std::optional<milliseconds> confirmedAge;
    /// Remaining time for which it delays the removal of entries that lapsed during an outage of the store.
    milliseconds removalsDelayedFor{};
    /// Whether `items` are all items at `revision` instead of changes: the follower has none yet, or the
    /// changes since its revision are no longer kept or it is of another era.
    bool isSnapshot = false;
};

/// Encodes a response as a packed Cap'n Proto message.
[[nodiscard]] std::string encodeFeed(const FeedAnswer &answer);

/// Decodes a response. Returns `std::nullopt` when the bytes are not a valid message.
[[nodiscard]] std::optional<FeedAnswer> decodeFeed(std::string_view bytes);

} // namespace chestnutsill
