#include "impl/beast.h"

#include <charconv>

namespace chestnutsill::impl {

std::vector<HttpField> copyFields(const http::fields &fields)
{
    std::vector<HttpField> copy;
    for (const auto &field : fields)
        copy.push_back({std::string(field.name_string()), std::string(field.value())});
    return copy;
}

std::optional<Tcp::endpoint> toEndpoint(std::string_view address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(std::string(address.substr(0, colon)), error);
    const std::string_view digits = address.substr(colon + 1);
    unsigned short port = 0;
    const auto [stop, result] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error || result != std::errc() || stop != digits.data() + digits.size())
        return std::nullopt;
    return Tcp::endpoint(ip, port);
}

} // namespace chestnutsill::impl
