#include "chestnutsill/net/httpserver.h"

#include "impl/beast.h"
#include "impl/beastexchange.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <mutex>
#include <set>
#include <stdexcept>

namespace chestnutsill {

using impl::asio::io_context;
namespace beast = impl::beast;
namespace http = impl::http;
using impl::BeastExchange;
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
    std::mutex receivingMutex;
    /// Connections on which a part of a request has arrived.
    std::set<std::shared_ptr<beast::tcp_stream>> receiving;
};

namespace {

constexpr std::size_t ReadSize = 16'384;
/// HTTP/1.1, in Beast's notation.
constexpr unsigned FirstVersionWithChunks = 11;
/// Maximum number of bytes that are read ahead of the parser, besides the head of a request.
constexpr std::size_t MaxReadAheadBytes = 65'536;
/// Maximum time for which the input of a rejected request is read and discarded.
constexpr std::chrono::milliseconds DiscardTime{2000};

using Parser = http::request_parser<http::string_body>;

HttpError errorFrom(const boost::system::error_code &error)
{
    if (error == boost::asio::error::operation_aborted)
        return {503, "leaving", "request", "this instance stops before the request has arrived"};
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

/// Registers a connection while a request arrives on it.
template<typename State>
class Receiving
{
public:
    Receiving(State &state, std::shared_ptr<beast::tcp_stream> stream)
        : m_state(state)
        , m_stream(std::move(stream))
    {
        const std::lock_guard lock(m_state.receivingMutex);
        m_state.receiving.insert(m_stream);
    }
    ~Receiving()
    {
        const std::lock_guard lock(m_state.receivingMutex);
        m_state.receiving.erase(m_stream);
    }
    Receiving(const Receiving &) = delete;
    Receiving &operator=(const Receiving &) = delete;

private:
    State &m_state;
    const std::shared_ptr<beast::tcp_stream> m_stream;
};

/// Reads one request. Returns nothing if the connection ends or stays idle for too long before the first
/// byte.
template<typename State>
std::optional<HttpRequest> readRequest(State &state, const std::shared_ptr<beast::tcp_stream> &connection,
                                       beast::flat_buffer &buffer, Parser &parser, const HttpLimits &limits,
                                       const Fiber &fiber)
{
    beast::tcp_stream &stream = *connection;
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
    const Receiving receiving(state, connection);
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

/// Ends a connection after its last response: reads and discards what the caller still sends until it closes
/// the connection. Closing it with unread input would reset it, and the caller might lose the response.
void lingerAndClose(beast::tcp_stream &stream, const Fiber &fiber)
{
    std::array<char, ReadSize> buffer;
    boost::system::error_code error;
    stream.socket().shutdown(Tcp::socket::shutdown_send, error);
    stream.expires_after(DiscardTime);
    while (!error)
        stream.async_read_some(boost::asio::buffer(buffer), fiber[error]);
}

template<typename State>
void serve(State &state, const std::shared_ptr<beast::tcp_stream> &connection, const Fiber &fiber)
{
    beast::tcp_stream &stream = *connection;
    // Bounds what a caller can make this instance hold with parts of a request that have no end.
    beast::flat_buffer buffer(state.limits().maxHead + MaxReadAheadBytes);
    boost::system::error_code ignored;
    stream.socket().set_option(Tcp::no_delay(true), ignored);
    for (;;) {
        Parser parser;
        const HttpLimits limits = state.limits();
        auto request = readRequest(state, connection, buffer, parser, limits, fiber);
        if (!request)
            return;
        const ActiveRequest active(state.active);
        BeastExchange exchange(stream, std::move(*request), limits, parser.get().keep_alive(),
                               parser.get().version() >= FirstVersionWithChunks);
        state.handler(exchange, fiber);
        exchange.stopWatchingCaller();
        if (exchange.isBrokenOff())
            return exchange.abort();
        if (!exchange.isReusable())
            break;
    }
    lingerAndClose(stream, fiber);
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
            executor, [state, stream](const Fiber &connection) { serve(*state, stream, connection); },
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

void HttpServer::refuseUnfinished()
{
    const std::lock_guard lock(m_state->receivingMutex);
    for (const auto &stream : m_state->receiving) {
        boost::asio::post(stream->get_executor(), [state = m_state, stream] {
            const std::lock_guard receivingLock(state->receivingMutex);
            boost::system::error_code ignored;
            if (state->receiving.contains(stream))
                stream->socket().cancel(ignored);
        });
    }
}

int HttpServer::activeRequests() const noexcept
{
    return m_state->active;
}

} // namespace chestnutsill
