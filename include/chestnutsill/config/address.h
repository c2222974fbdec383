#pragma once

#include <string_view>

namespace chestnutsill {

/// Returns whether a string has the form `ip:port`, with a port from 1 to 65535.
[[nodiscard]] bool isAddress(std::string_view text);

} // namespace chestnutsill
