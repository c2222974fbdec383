#pragma once

#include "chestnutsill/net/http.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutsill::impl {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

/// Converts a string view to the type that Beast uses.
[[nodiscard]] inline beast::string_view toBeast(std::string_view text) noexcept
{
    return {text.data(), text.size()};
}

/// Copies header fields out of a Beast message.
[[nodiscard]] std::vector<HttpField> copyFields(const http::fields &fields);

/// Parses an IP address and port. Returns nothing if the text is malformed.
[[nodiscard]] std::optional<Tcp::endpoint> toEndpoint(std::string_view address);

} // namespace chestnutsill::impl
