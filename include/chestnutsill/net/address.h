#pragma once

#include <boost/asio/ip/address.hpp>

#include <optional>
#include <string_view>

namespace chestnutsill {

/// An IP address and a port.
struct SocketAddress
{
    boost::asio::ip::address ip;
    unsigned short port = 0;
};

/// Parses an IP address and a port separated by a colon. Returns nothing if the text is malformed.
[[nodiscard]] std::optional<SocketAddress> toSocketAddress(std::string_view text);

} // namespace chestnutsill
