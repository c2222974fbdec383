#pragma once

#include "chestnutsill/policy/changelog.h"
#include "chestnutsill/policy/instant.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutsill {

/// What an instance answers to a peer that follows the store through it.
struct FeedAnswer
{
    std::vector<PublishedItem> items;
    /// Revision up to which the instance has followed the store.
    std::uint64_t at = 0;
    /// Age of its confirmation that nothing newer is published; nothing when there is none.
    std::optional<milliseconds> confirmedAge;
    /// How much longer it keeps entries that lapsed in an outage of the store.
    milliseconds lapsedKeptFor{};
};

/// The bytes of an answer.
[[nodiscard]] std::string encodeFeed(const FeedAnswer &answer);

/// Reads an answer. Returns nothing when the bytes are not one.
[[nodiscard]] std::optional<FeedAnswer> decodeFeed(std::string_view bytes);

} // namespace chestnutsill
