#include "chestnutsill/net/httpclient.h"

#include "impl/beast.h"

#include <array>

namespace chestnutsill {

namespace beast = impl::beast;
namespace http = impl::http;
using impl::Tcp;
using std::chrono::milliseconds;

struct HttpClient::Impl
{
    static constexpr std::size_t PieceSize = 16'384;

    std::optional<beast::tcp_stream> stream;
    beast::flat_buffer buffer;
    std::string host;
    std::optional<http::response_parser<http::buffer_body>> parser;
    std::array<char, PieceSize> piece{};
    std::string reason;
    bool timedOut = false;

    bool note(std::string_view doing, const boost::system::error_code &error)
    {
        if (!error)
            return true;
        timedOut = error == beast::error::timeout;
        reason = std::string(doing) + ": " + error.message();
        return false;
    }
};

HttpClient::HttpClient()
    : m_impl(std::make_unique<Impl>())
{}

HttpClient::~HttpClient() = default;

bool HttpClient::connect(std::string_view address, milliseconds timeout, const Fiber &fiber)
{
    const auto endpoint = impl::toEndpoint(address);
    if (!endpoint) {
        m_impl->reason = "not an IP address and port: " + std::string(address);
        return false;
    }
    m_impl->host = address;
    m_impl->buffer.clear();
    beast::tcp_stream &stream = m_impl->stream.emplace(fiber.get_executor());
    boost::system::error_code error;
    stream.expires_after(timeout);
    stream.async_connect(*endpoint, fiber[error]);
    if (!m_impl->note("connect", error))
        return false;
    boost::system::error_code ignored;
    stream.socket().set_option(Tcp::no_delay(true), ignored);
    return true;
}

bool HttpClient::send(const HttpCall &call, milliseconds timeout, const Fiber &fiber)
{
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(impl::toBeast(call.method));
    request.target(impl::toBeast(call.target));
    request.set(http::field::host, m_impl->host);
    for (const HttpField &field : call.fields)
        request.set(field.name, field.value);
    request.body().assign(call.body.data(), call.body.size());
    request.prepare_payload();
    boost::system::error_code error;
    m_impl->stream->expires_after(timeout);
    http::async_write(*m_impl->stream, request, fiber[error]);
    return m_impl->note("send", error);
}

std::optional<HttpHead> HttpClient::readHead(milliseconds timeout, const Fiber &fiber)
{
    auto &parser = m_impl->parser.emplace();
    parser.body_limit(boost::none);
    boost::system::error_code error;
    m_impl->stream->expires_after(timeout);
    http::async_read_header(*m_impl->stream, m_impl->buffer, parser, fiber[error]);
    if (!m_impl->note("read response head", error))
        return std::nullopt;
    HttpHead head;
    head.status = static_cast<int>(parser.get().result_int());
    head.fields = impl::copyFields(parser.get());
    return head;
}

std::optional<std::string> HttpClient::readPiece(milliseconds timeout, const Fiber &fiber)
{
    auto &parser = *m_impl->parser;
    std::string piece;
    while (piece.empty() && !parser.is_done()) {
        parser.get().body().data = m_impl->piece.data();
        parser.get().body().size = m_impl->piece.size();
        parser.get().body().more = true;
        boost::system::error_code error;
        m_impl->stream->expires_after(timeout);
        http::async_read_some(*m_impl->stream, m_impl->buffer, parser, fiber[error]);
        if (error == http::error::need_buffer)
            error = {};
        if (!m_impl->note("read response body", error))
            return std::nullopt;
        piece.assign(m_impl->piece.data(), m_impl->piece.size() - parser.get().body().size);
    }
    return piece;
}

std::optional<HttpResponse> HttpClient::call(const HttpCall &call, std::size_t maxBody, milliseconds timeout,
                                             const Fiber &fiber)
{
    if (!send(call, timeout, fiber))
        return std::nullopt;
    auto head = readHead(timeout, fiber);
    if (!head)
        return std::nullopt;
    HttpResponse response{std::move(*head), {}};
    for (;;) {
        const auto piece = readPiece(timeout, fiber);
        if (!piece)
            return std::nullopt;
        if (piece->empty())
            return response;
        response.body += *piece;
        if (response.body.size() > maxBody) {
            m_impl->reason = "response is larger than " + std::to_string(maxBody) + " bytes";
            return std::nullopt;
        }
    }
}

void HttpClient::close()
{
    if (m_impl->stream)
        m_impl->stream->close();
}

bool HttpClient::timedOut() const noexcept
{
    return m_impl->timedOut;
}

const std::string &HttpClient::lastReason() const noexcept
{
    return m_impl->reason;
}

std::optional<HttpResponse> fetch(std::string_view address, const HttpCall &call, milliseconds timeout,
                                  const Fiber &fiber, std::string &reason)
{
    constexpr std::size_t MaxBody = 4 << 20;
    HttpClient client;
    std::optional<HttpResponse> response;
    if (client.connect(address, timeout, fiber))
        response = client.call(call, MaxBody, timeout, fiber);
    if (!response)
        reason = client.lastReason();
    return response;
}

} // namespace chestnutsill
