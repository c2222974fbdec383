#include "chestnutsill/config/address.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <string>

namespace chestnutsill {

bool isAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    boost::system::error_code error;
    boost::asio::ip::make_address(std::string(text.substr(0, colon)), error);
    unsigned port = 0;
    const std::string_view digits = text.substr(colon + 1);
    const auto [stop, result] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    return !error && result == std::errc() && stop == digits.data() + digits.size() && port > 0
           && port < 65536;
}

} // namespace chestnutsill
