#include "chestnutsill/net/httpclient.h"

#include "chestnutsill/clock.h"
#include "impl/beast.h"
#include "impl/readmessage.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>

namespace chestnutsill {

namespace beast = impl::beast;
namespace http = impl::http;
using impl::Tcp;
using std::chrono::milliseconds;

struct HttpClient::Impl
{
    static constexpr std::size_t MaxPieceBytes = 16'384;
    /// Maximum number of bytes that are read ahead of the parser. It bounds what a server can make this
    /// instance hold with parts of a response that have no end, such as a chunk extension.
    static constexpr std::size_t MaxBufferedBytes = 65'536;

    std::optional<beast::tcp_stream> stream;
    beast::flat_buffer buffer{MaxBufferedBytes};
    std::string host;
    std::optional<impl::CountingParser<false, http::buffer_body>> parser;
    std::array<char, MaxPieceBytes> piece{};
    std::string reason;
    bool timedOut = false;
    bool tooLarge = false;
    Instant connectedAt{};
    /// Request of `startSend`, until it has been sent completely.
    std::optional<http::request<http::span_body<const char>>> outgoing;
    /// Why sending it failed. The socket reports a reset only once: to the read or to the write.
    boost::system::error_code sendError;

    /// Whether the server has received all bytes of the request. Sets an error if it can't any more.
    bool hasDelivered(boost::system::error_code &error)
    {
        error = sendError;
        if (!error && !stream->socket().is_open())
            error = boost::asio::error::operation_aborted;
        if (error)
            return false;
        const int socket = stream->socket().native_handle();
        int pending = 0;
        socklen_t size = sizeof pending;
        if (::getsockopt(socket, SOL_SOCKET, SO_ERROR, &pending, &size) == 0 && pending != 0) {
            error.assign(pending, boost::system::system_category());
            return false;
        }
        int unacknowledged = 0;
        return !outgoing && ::ioctl(socket, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged == 0;
    }

    /// Waits until the server has received the whole request. A server that gives up a request closes the
    /// connection before that, and the reset that follows arrives after the end that the close has sent.
    boost::system::error_code awaitDelivery(milliseconds timeout, const Fiber &fiber)
    {
        /// A server may be silent for a second while it reads the rest.
        constexpr milliseconds MaxWait{1500};
        constexpr milliseconds CheckInterval{5};
        const Instant deadline = now() + std::min(timeout, MaxWait);
        boost::system::error_code error;
        while (!hasDelivered(error) && !error) {
            if (now() >= deadline)
                return beast::error::timeout;
            sleepFor(CheckInterval, fiber);
        }
        return error;
    }

    bool checkResult(std::string_view operation, const boost::system::error_code &error)
    {
        if (!error)
            return true;
        timedOut = error == beast::error::timeout;
        reason = std::string(operation) + ": " + error.message();
        return false;
    }
};

namespace {

constexpr unsigned FirstErrorStatus = 400;
constexpr int KeepAliveIdleSeconds = 2;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int MaxKeepAliveProbes = 3;
/// Time in milliseconds after which unacknowledged data makes the connection fail. It also decides when
/// probes give up, whatever their count, so that a shorter time would end a connection after a single probe.
constexpr int AcknowledgementTimeoutMs =
    1000 * (KeepAliveIdleSeconds + MaxKeepAliveProbes * KeepAliveIntervalSeconds);

/// Sets TCP keep-alive and timeout options so that a connection to an unresponsive peer fails within a few
/// seconds.
void enableDeadPeerDetection(Tcp::socket &socket)
{
    const auto set = [&](int level, int option, int value) {
        ::setsockopt(socket.native_handle(), level, option, &value, sizeof value);
    };
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
    set(IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
    set(IPPROTO_TCP, TCP_KEEPCNT, MaxKeepAliveProbes);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, AcknowledgementTimeoutMs);
}

template<typename Request>
void setHead(Request &request, const HttpCall &call, const std::string &host)
{
    request.version(11);
    request.method_string(impl::toBeast(call.method));
    request.target(impl::toBeast(call.target));
    request.set(http::field::host, host);
    for (const HttpField &field : call.fields) {
        if (equalsIgnoringCase(field.name, "host"))
            request.set(http::field::host, field.value);
        else
            request.insert(field.name, field.value);
    }
}

} // namespace

HttpClient::HttpClient()
    : m_impl(std::make_shared<Impl>())
{}

HttpClient::~HttpClient()
{
    close();
}

bool HttpClient::connect(std::string_view address, milliseconds timeout, const Fiber &fiber,
                         const std::string &source)
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
    if (!source.empty()) {
        stream.socket().open(endpoint->protocol(), error);
        const auto ip = boost::asio::ip::make_address(source, error);
        if (!error)
            stream.socket().bind(Tcp::endpoint(ip, 0), error);
        if (!m_impl->checkResult("bind to " + source, error))
            return false;
    }
    stream.expires_after(timeout);
    stream.async_connect(*endpoint, fiber[error]);
    if (!m_impl->checkResult("connect", error))
        return false;
    boost::system::error_code ignored;
    stream.socket().set_option(Tcp::no_delay(true), ignored);
    enableDeadPeerDetection(stream.socket());
    m_impl->connectedAt = now();
    return true;
}

bool HttpClient::send(const HttpCall &call, milliseconds timeout, const Fiber &fiber)
{
    http::request<http::string_body> request;
    setHead(request, call, m_impl->host);
    request.body().assign(call.body.data(), call.body.size());
    request.prepare_payload();
    boost::system::error_code error;
    m_impl->stream->expires_after(timeout);
    http::async_write(*m_impl->stream, request, fiber[error]);
    return m_impl->checkResult("send", error);
}

void HttpClient::startSend(const HttpCall &call, milliseconds timeout)
{
    auto &request = m_impl->outgoing.emplace();
    m_impl->sendError = {};
    setHead(request, call, m_impl->host);
    request.body() = {call.body.data(), call.body.size()};
    request.prepare_payload();
    m_impl->stream->expires_after(timeout);
    http::async_write(*m_impl->stream, request,
                      [impl = m_impl](const boost::system::error_code &error, std::size_t) {
                          impl->sendError = error;
                          if (!error)
                              impl->outgoing.reset();
                      });
}

bool HttpClient::sendFinished() const noexcept
{
    return !m_impl->outgoing;
}

bool HttpClient::isIdle()
{
    if (!m_impl->stream || m_impl->outgoing || m_impl->buffer.size() != 0)
        return false;
    char byte = 0;
    const auto received = ::recv(m_impl->stream->socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::optional<HttpHead> HttpClient::readHead(milliseconds timeout, const Fiber &fiber,
                                             const MemoryCheck &check)
{
    constexpr unsigned FirstFinalStatus = 200;
    /// Memory of one header line: a node of the parser, the field, its copy for the caller, each with two
    /// short strings, and a node of the message to the caller.
    constexpr std::size_t LineBytes = 320;
    /// Copies of the text of the head.
    constexpr std::size_t HeadCopies = 4;
    boost::system::error_code error;
    // One timeout for all heads, since a server may send interim responses without end.
    m_impl->stream->expires_after(timeout);
    const Instant deadline = now() + timeout;
    do {
        auto &parser = m_impl->parser.emplace();
        parser.body_limit(boost::none);
        const auto hasMemory = [&] {
            return !check
                           || check(LineBytes * parser.lineCount() + HeadCopies * parser.lineBytes()
                                    + m_impl->buffer.capacity())
                       ? boost::system::error_code()
                       : make_error_code(boost::asio::error::no_memory);
        };
        impl::readMessage(*m_impl->stream, m_impl->buffer, parser, true, hasMemory, fiber, error);
        // The stream's timer may lose every race against a server that sends interim responses without a
        // pause.
        const bool isInterim = !error && m_impl->parser->get().result_int() < FirstFinalStatus;
        if (isInterim && now() >= deadline)
            error = beast::error::timeout;
        if (!m_impl->checkResult("read response head", error))
            return std::nullopt;
    } while (m_impl->parser->get().result_int() < FirstFinalStatus);
    const auto &parser = *m_impl->parser;
    HttpHead head;
    head.status = static_cast<int>(parser.get().result_int());
    head.fields = impl::copyFields(parser.get());
    head.keepAlive = parser.keep_alive();
    if (const auto length = parser.content_length())
        head.length = *length;
    head.endsWithConnection = parser.need_eof();
    return head;
}

std::optional<std::string> HttpClient::readPiece(milliseconds timeout, const Fiber &fiber)
{
    auto &parser = *m_impl->parser;
    std::string piece;
    m_impl->stream->expires_after(timeout);
    while (piece.empty() && !parser.is_done()) {
        parser.get().body().data = m_impl->piece.data();
        parser.get().body().size = m_impl->piece.size();
        parser.get().body().more = true;
        boost::system::error_code error;
        http::async_read_some(*m_impl->stream, m_impl->buffer, parser, fiber[error]);
        if (error == http::error::need_buffer)
            error = {};
        if (!error && parser.is_done() && parser.need_eof()) {
            // A refusal says all in its head.
            error = parser.get().result_int() < FirstErrorStatus ? m_impl->awaitDelivery(timeout, fiber)
                                                                 : m_impl->sendError;
        }
        if (!m_impl->checkResult("read response body", error))
            return std::nullopt;
        piece.assign(m_impl->piece.data(), m_impl->piece.size() - parser.get().body().size);
    }
    return piece;
}

std::optional<HttpResponse> HttpClient::call(const HttpCall &call, std::size_t maxBody, milliseconds timeout,
                                             const Fiber &fiber)
{
    /// A body may take this many times as long as the timeout of one operation.
    constexpr int MaxBodyTimeouts = 4;
    if (!send(call, timeout, fiber))
        return std::nullopt;
    auto head = readHead(timeout, fiber);
    if (!head)
        return std::nullopt;
    HttpResponse response{std::move(*head), {}};
    const Instant bodyDeadline = now() + MaxBodyTimeouts * timeout;
    for (;;) {
        const auto piece = readPiece(timeout, fiber);
        if (now() >= bodyDeadline) {
            m_impl->reason = "the response body took too long";
            return std::nullopt;
        }
        if (!piece)
            return std::nullopt;
        if (piece->empty())
            return response;
        response.body += *piece;
        if (response.body.size() > maxBody) {
            m_impl->tooLarge = true;
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

void HttpClient::reset()
{
    if (!m_impl->stream)
        return;
    boost::system::error_code ignored;
    m_impl->stream->socket().set_option(boost::asio::socket_base::linger(true, 0), ignored);
    m_impl->stream->close();
}

Instant HttpClient::connectedAt() const noexcept
{
    return m_impl->connectedAt;
}

bool HttpClient::timedOut() const noexcept
{
    return m_impl->timedOut;
}

bool HttpClient::isTooLarge() const noexcept
{
    return m_impl->tooLarge;
}

const std::string &HttpClient::lastReason() const noexcept
{
    return m_impl->reason;
}

std::optional<HttpResponse> fetch(std::string_view address, const HttpCall &call, milliseconds timeout,
                                  const Fiber &fiber, std::string &reason)
{
    constexpr std::size_t MaxBodyBytes = 4 << 20;
    HttpClient client;
    std::optional<HttpResponse> response;
    if (client.connect(address, timeout, fiber))
        response = client.call(call, MaxBodyBytes, timeout, fiber);
    if (!response)
        reason = client.lastReason();
    return response;
}

} // namespace chestnutsill
