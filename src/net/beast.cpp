#include "impl/beast.h"

#include "chestnutsill/net/address.h"

#include <charconv>

namespace chestnutsill {

std::optional<SocketAddress> toSocketAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    boost::system::error_code error;
    SocketAddress address;
    address.ip = boost::asio::ip::make_address(std::string(text.substr(0, colon)), error);
    const std::string_view digits = text.substr(colon + 1);
    const auto [stop, result] = std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
    if (error || result != std::errc() || stop != digits.data() + digits.size())
        return std::nullopt;
    return address;
}

namespace impl {

std::vector<HttpField> copyFields(const http::fields &fields)
{
    std::vector<HttpField> copy;
    for (const auto &field : fields)
        copy.push_back({std::string(field.name_string()), std::string(field.value())});
    return copy;
}

std::optional<Tcp::endpoint> toEndpoint(std::string_view address)
{
    const auto parsed = toSocketAddress(address);
    return parsed ? std::optional(Tcp::endpoint(parsed->ip, parsed->port)) : std::nullopt;
}

} // namespace impl

} // namespace chestnutsill
