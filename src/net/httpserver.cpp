#include "chestnutsill/net/httpserver.h"

#include "impl/beast.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/steady_timer.hpp>

#include <sys/socket.h>

#include <array>
#include <stdexcept>

namespace chestnutsill {

using impl::asio::io_context;
namespace beast = impl::beast;
namespace http = impl::http;
using impl::Tcp;

struct HttpServer::State
{
    State(io_context &context, LimitsSource limitsSource, Handler onRequest)
        : io(context)
        , acceptor(boost::asio::make_strand(context))
        , limits(std::move(limitsSource))
        , handler(std::move(onRequest))
    {}

    io_context &io;
    Tcp::acceptor acceptor;
    LimitsSource limits;
    Handler handler;
    std::atomic<int> active = 0;
};

namespace {

constexpr std::size_t ReadSize = 16'384;
/// HTTP/1.1, in Beast's notation.
constexpr unsigned FirstVersionWithChunks = 11;
/// Maximum number of bytes that are read ahead of the parser, besides the head of a request.
constexpr std::size_t MaxReadAheadBytes = 65'536;
/// Maximum time for which the input of a rejected request is read and discarded.
constexpr std::chrono::milliseconds DiscardTime{2000};

/// Exchange for one request on a caller's connection.
class BeastExchange : public Exchange
{
public:
    /// Responses without a length to a caller that doesn't know chunks end with their connection.
    BeastExchange(beast::tcp_stream &stream, HttpRequest request, const HttpLimits &limits, bool keepAlive,
                  bool knowsChunks)
        : m_stream(stream)
        , m_request(std::move(request))
        , m_limits(limits)
        , m_keepAlive(keepAlive)
        , m_knowsChunks(knowsChunks)
    {}

    [[nodiscard]] const HttpRequest &request() const noexcept override { return m_request; }

    bool respond(int status, std::string_view contentType, std::string_view body,
                 std::span<const HttpField> fields, const Fiber &fiber) override
    {
        http::response<http::string_body> response(static_cast<http::status>(status), 11);
        setFields(response, contentType, fields);
        response.body().assign(body.data(), body.size());
        response.prepare_payload();
        boost::system::error_code error;
        m_stream.expires_after(m_limits.writeTimeout);
        http::async_write(m_stream, response, fiber[error]);
        return checkResult(error);
    }

    bool startStream(int status, std::string_view contentType, std::span<const HttpField> fields,
                     const Fiber &fiber) override
    {
        http::response<http::empty_body> response(static_cast<http::status>(status), 11);
        setFields(response, contentType, fields);
        return sendHead(response, std::nullopt, fiber);
    }

    bool startRelay(int status, std::span<const HttpField> fields, std::optional<std::uint64_t> length,
                    const Fiber &fiber) override
    {
        http::response<http::empty_body> response(static_cast<http::status>(status), 11);
        for (const HttpField &field : fields)
            response.insert(field.name, field.value);
        response.keep_alive(m_keepAlive);
        return sendHead(response, length, fiber);
    }

    bool sendPiece(std::string_view piece, const Fiber &fiber) override
    {
        if (piece.empty() || m_failed)
            return !m_failed;
        boost::system::error_code error;
        const auto bytes = boost::asio::buffer(piece.data(), piece.size());
        m_stream.expires_after(m_limits.writeTimeout);
        if (m_chunked)
            boost::asio::async_write(m_stream, http::make_chunk(bytes), fiber[error]);
        else
            boost::asio::async_write(m_stream, bytes, fiber[error]);
        return checkResult(error);
    }

    bool endStream(const Fiber &fiber) override
    {
        boost::system::error_code error;
        if (m_endsWithConnection && !m_failed)
            setResetOnClose(false);
        if (m_chunked && !m_failed) {
            m_stream.expires_after(m_limits.writeTimeout);
            boost::asio::async_write(m_stream, http::make_chunk_last(), fiber[error]);
        }
        m_streaming = false;
        return checkResult(error);
    }

    void abort() override
    {
        boost::system::error_code ignored;
        m_stream.socket().close(ignored);
        m_failed = true;
    }

    [[nodiscard]] bool callerGone() override
    {
        char byte = 0;
        const auto received = ::recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    void watchCaller(std::function<void()> onGone) override
    {
        m_onGone = std::make_shared<std::function<void()>>(std::move(onGone));
        m_stream.socket().async_wait(Tcp::socket::wait_read, [this, watch = std::weak_ptr(m_onGone)](
                                                                 const boost::system::error_code &error) {
            const auto onGone = watch.lock();
            if (!error && onGone && callerGone())
                (*onGone)();
        });
    }

    void closeAfterResponse() override { m_keepAlive = false; }

    /// Stops watching the caller, so that the next request can be read from the connection.
    void stopWatchingCaller()
    {
        if (!m_onGone)
            return;
        m_onGone.reset();
        boost::system::error_code ignored;
        m_stream.socket().cancel(ignored);
    }

    /// Whether the connection can serve another request.
    [[nodiscard]] bool isReusable() const noexcept
    {
        return m_keepAlive && !m_failed && !m_streaming && !m_request.error;
    }

    /// Whether a response has begun and not reached its end.
    [[nodiscard]] bool isBrokenOff() const noexcept { return m_streaming; }

private:
    using Head = http::response<http::empty_body>;

    /// Sends the head of a response whose body follows in pieces.
    bool sendHead(Head &head, std::optional<std::uint64_t> length, const Fiber &fiber)
    {
        m_chunked = !length && m_knowsChunks;
        m_endsWithConnection = !length && !m_knowsChunks;
        if (length)
            head.content_length(*length);
        else if (m_chunked)
            head.chunked(true);
        if (m_endsWithConnection) {
            m_keepAlive = false;
            head.keep_alive(false);
            // The caller takes a close for the end of the body. Until the end is reached the connection is
            // reset however it is closed, also by the end of this process.
            setResetOnClose(true);
        }
        http::response_serializer<http::empty_body> serializer(head);
        boost::system::error_code error;
        m_stream.expires_after(m_limits.writeTimeout);
        http::async_write_header(m_stream, serializer, fiber[error]);
        m_streaming = true;
        return checkResult(error);
    }

    /// Sets whether closing the connection resets it.
    void setResetOnClose(bool resets)
    {
        boost::system::error_code ignored;
        m_stream.socket().set_option(boost::asio::socket_base::linger(resets, 0), ignored);
    }

    template<typename Response>
    void setFields(Response &response, std::string_view contentType, std::span<const HttpField> fields)
    {
        response.set(http::field::content_type, impl::toBeast(contentType));
        for (const HttpField &field : fields)
            response.set(field.name, field.value);
        response.keep_alive(m_keepAlive && !m_request.error);
    }

    bool checkResult(const boost::system::error_code &error)
    {
        m_failed = m_failed || error;
        return !m_failed;
    }

    beast::tcp_stream &m_stream;
    HttpRequest m_request;
    const HttpLimits &m_limits;
    bool m_keepAlive;
    bool m_knowsChunks;
    bool m_failed = false;
    bool m_streaming = false;
    bool m_chunked = true;
    /// Whether the end of the connection marks the end of the response.
    bool m_endsWithConnection = false;
    /// Set while the caller is watched; the pending wait holds a weak reference.
    std::shared_ptr<std::function<void()>> m_onGone;
};

using Parser = http::request_parser<http::string_body>;

HttpError errorFrom(const boost::system::error_code &error)
{
    if (error == http::error::body_limit)
        return {413, "body-too-large", "body", "the body is larger than this instance accepts"};
    if (error == http::error::header_limit)
        return {431, "head-too-large", "head", "the request line and header fields are too large"};
    if (error == beast::error::timeout)
        return {408, "request-too-slow", "request", "the request did not arrive in time"};
    return {400, "malformed-request", "request", "the request is not valid HTTP/1.1: " + error.message()};
}

HttpRequest toRequest(Parser &parser)
{
    HttpRequest request;
    auto &message = parser.get();
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.fields = impl::copyFields(message);
    request.body = std::move(message.body());
    return request;
}

/// Cancels reading after a timeout but, unlike the stream's own timeout, leaves the connection open for a
/// response.
class ReadDeadline
{
public:
    ReadDeadline(beast::tcp_stream &stream, std::chrono::milliseconds timeout)
        : m_timer(stream.get_executor(), timeout)
        , m_fired(std::make_shared<bool>(false))
    {
        stream.expires_never();
        m_timer.async_wait([&stream, fired = m_fired](const boost::system::error_code &error) {
            if (error)
                return;
            *fired = true;
            boost::system::error_code ignored;
            stream.socket().cancel(ignored);
        });
    }

    /// Replaces the error of a read that was cancelled by the deadline with a timeout.
    [[nodiscard]] boost::system::error_code translate(const boost::system::error_code &error) const
    {
        return error && *m_fired ? make_error_code(beast::error::timeout) : error;
    }

private:
    boost::asio::steady_timer m_timer;
    std::shared_ptr<bool> m_fired;
};

/// Reads one request. Returns nothing if the connection ends or stays idle for too long before the first
/// byte.
std::optional<HttpRequest> readRequest(beast::tcp_stream &stream, beast::flat_buffer &buffer, Parser &parser,
                                       const HttpLimits &limits, const Fiber &fiber)
{
    parser.header_limit(static_cast<std::uint32_t>(limits.maxHead));
    parser.body_limit(limits.maxBody);
    boost::system::error_code error;
    if (buffer.size() == 0) {
        stream.expires_after(limits.idleTimeout);
        const std::size_t size = stream.async_read_some(buffer.prepare(ReadSize), fiber[error]);
        if (error)
            return std::nullopt;
        buffer.commit(size);
    }
    {
        const ReadDeadline deadline(stream, limits.headTimeout);
        http::async_read_header(stream, buffer, parser, fiber[error]);
        error = deadline.translate(error);
    }
    if (!error && !parser.is_done()) {
        const ReadDeadline deadline(stream, limits.readTimeout);
        http::async_read(stream, buffer, parser, fiber[error]);
        error = deadline.translate(error);
    }
    HttpRequest request = toRequest(parser);
    if (error)
        request.error = errorFrom(error);
    return request;
}

/// Counts a request as active during its lifetime.
struct ActiveRequest
{
    explicit ActiveRequest(std::atomic<int> &active)
        : count(active)
    {
        ++count;
    }
    ~ActiveRequest() { --count; }
    ActiveRequest(const ActiveRequest &) = delete;
    ActiveRequest &operator=(const ActiveRequest &) = delete;

    std::atomic<int> &count;
};

/// Reads and discards what the caller still sends. Closing the connection with unread input would reset it,
/// and the caller might lose the response.
void discardInput(beast::tcp_stream &stream, const Fiber &fiber)
{
    std::array<char, ReadSize> buffer;
    boost::system::error_code error;
    stream.expires_after(DiscardTime);
    while (!error)
        stream.async_read_some(boost::asio::buffer(buffer), fiber[error]);
}

template<typename State>
void serve(State &state, beast::tcp_stream &stream, const Fiber &fiber)
{
    // Bounds what a caller can make this instance hold with parts of a request that have no end.
    beast::flat_buffer buffer(state.limits().maxHead + MaxReadAheadBytes);
    boost::system::error_code ignored;
    stream.socket().set_option(Tcp::no_delay(true), ignored);
    for (;;) {
        Parser parser;
        const HttpLimits limits = state.limits();
        auto request = readRequest(stream, buffer, parser, limits, fiber);
        if (!request)
            break;
        const ActiveRequest active(state.active);
        BeastExchange exchange(stream, std::move(*request), limits, parser.get().keep_alive(),
                               parser.get().version() >= FirstVersionWithChunks);
        state.handler(exchange, fiber);
        exchange.stopWatchingCaller();
        if (exchange.request().error) {
            stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
            discardInput(stream, fiber);
            return;
        }
        if (exchange.isBrokenOff())
            return exchange.abort();
        if (!exchange.isReusable())
            break;
    }
    stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
}

template<typename StatePtr>
void acceptLoop(const StatePtr &state, const Fiber &fiber)
{
    for (;;) {
        boost::system::error_code error;
        Tcp::socket socket(boost::asio::make_strand(state->io));
        state->acceptor.async_accept(socket, fiber[error]);
        if (error == boost::asio::error::operation_aborted || !state->acceptor.is_open())
            return;
        if (error) {
            sleepFor(std::chrono::milliseconds(20), fiber);
            continue;
        }
        const auto executor = socket.get_executor();
        auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
        boost::asio::spawn(
            executor, [state, stream](const Fiber &connection) { serve(*state, *stream, connection); },
            boost::asio::detached);
    }
}

} // namespace

HttpServer::HttpServer(io_context &io, const std::string &address, HttpLimits limits, Handler handler)
    : HttpServer(
        io, address, [limits] { return limits; }, std::move(handler))
{}

HttpServer::HttpServer(io_context &io, const std::string &address, LimitsSource limits, Handler handler)
    : m_state(std::make_shared<State>(io, std::move(limits), std::move(handler)))
{
    const auto endpoint = impl::toEndpoint(address);
    if (!endpoint)
        throw std::runtime_error("cannot listen on " + address + ": not an IP address and port");
    boost::system::error_code error;
    m_state->acceptor.open(endpoint->protocol(), error);
    if (!error)
        m_state->acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    if (!error)
        m_state->acceptor.bind(*endpoint, error);
    if (!error)
        m_state->acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        throw std::runtime_error("cannot listen on " + address + ": " + error.message());
    boost::asio::spawn(
        m_state->acceptor.get_executor(), [state = m_state](const Fiber &fiber) { acceptLoop(state, fiber); },
        boost::asio::detached);
}

HttpServer::~HttpServer()
{
    stopAccepting();
}

void HttpServer::stopAccepting()
{
    boost::asio::post(m_state->acceptor.get_executor(), [state = m_state] {
        boost::system::error_code ignored;
        state->acceptor.close(ignored);
    });
}

int HttpServer::activeRequests() const noexcept
{
    return m_state->active;
}

} // namespace chestnutsill
