#pragma once

#include "chestnutsill/net/httpclient.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace chestnutsill::support {

/// A caller's connection to one address, used for one request after the other for as long as the other side
/// keeps it open, and then opened anew.
class KeptConnection
{
public:
    explicit KeptConnection(std::string address);

    /// Sends a request and returns its complete response, or nothing.
    [[nodiscard]] std::optional<HttpResponse> call(const HttpCall &call, std::chrono::milliseconds timeout);

private:
    std::string m_address;
    boost::asio::io_context m_io;
    /// Null while there is no connection.
    std::unique_ptr<HttpClient> m_client;
};

} // namespace chestnutsill::support
