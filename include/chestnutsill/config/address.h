#pragma once

#include <string_view>

namespace chestnutsill {

/// Whether a text is an IP address and a port from 1 to 65535, divided by a colon.
[[nodiscard]] bool isAddress(std::string_view text);

} // namespace chestnutsill
