#include "chestnutsill/net/httpserver.h"

#include "chestnutsill/net/connectionbudget.h"
#include "chestnutsill/net/connectionlease.h"
#include "impl/beast.h"
#include "impl/beastexchange.h"
#include "impl/readmessage.h"

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
    State(io_context &context, LimitsSource limitsSource, Handler onRequest, ServerMemory serverMemory)
        : io(context)
        , acceptor(boost::asio::make_strand(context))
        , limits(std::move(limitsSource))
        , handler(std::move(onRequest))
        , memory(std::move(serverMemory))
    {}

    io_context &io;
    Tcp::acceptor acceptor;
    LimitsSource limits;
    Handler handler;
    ServerMemory memory;
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

/// Memory of a connection besides its buffer: the pages of the fiber's stack that are used, and the socket.
constexpr std::size_t ConnectionBytes = 24'576;
/// Memory of a request in progress besides its head and body: buffers of the connection to an upstream, a
/// part of a response, and the request's state.
constexpr std::size_t RequestBytes = 131'072;
/// Memory of one header line of a request that arrives: a node of the parser.
constexpr std::size_t ArrivingLineBytes = 96;
/// Memory of one header line of a request in progress: in the request, the decoded request and the fields for
/// the upstream, each with two short strings, and a node of the message to the upstream.
constexpr std::size_t LineBytes = 384;
/// Number of copies of the head's text and of the body while a request is in progress.
constexpr std::size_t HeadCopies = 5;
constexpr std::size_t BodyCopies = 2;
/// Bytes of a body that has arrived, with the space into which it grows.
constexpr std::size_t ArrivingBodyCopies = 2;

using Parser = impl::CountingParser<true, http::string_body>;

/// Memory of a request that arrives.
std::size_t arrivingBytes(Parser &parser, const beast::flat_buffer &buffer)
{
    return ConnectionBytes + buffer.capacity() + ArrivingLineBytes * parser.lineCount() + parser.lineBytes()
           + ArrivingBodyCopies * parser.get().body().size();
}

/// Memory of a request in progress.
std::size_t servingBytes(Parser &parser, const beast::flat_buffer &buffer)
{
    return ConnectionBytes + buffer.capacity() + RequestBytes + LineBytes * parser.lineCount()
           + HeadCopies * parser.lineBytes() + BodyCopies * parser.get().body().size();
}

/// A request and what is needed to respond to it.
struct ReceivedRequest
{
    HttpRequest request;
    bool keepAlive = false;
    bool knowsChunks = false;
    /// Memory that is reserved for it.
    std::size_t bytes = 0;
};

/// A connection and its place in the memory budget.
struct Connection
{
    explicit Connection(Tcp::socket socket)
        : stream(std::move(socket))
    {}

    beast::tcp_stream stream;
    /// Null if memory is not bounded.
    std::unique_ptr<ConnectionLease> lease;
    /// Set when the connection is to be closed in favour of others.
    std::atomic<bool> evicted = false;
};

void setPhase(const Connection &connection, MemoryBudget::Phase phase)
{
    if (connection.lease)
        connection.lease->setPhase(phase);
}

[[nodiscard]] bool reserve(const Connection &connection, std::size_t bytes)
{
    return !connection.lease || connection.lease->resize(bytes);
}

HttpError errorFrom(const boost::system::error_code &error)
{
    if (error == boost::asio::error::operation_aborted)
        return {503, "leaving", "request", "this instance stops before the request has arrived"};
    if (error == boost::asio::error::no_memory)
        return {503, "no-memory", "request", "this instance has no memory left for the request"};
    if (error == http::error::body_limit)
        return {413, "body-too-large", "body", "the body is larger than this instance accepts"};
    if (error == http::error::header_limit)
        return {431, "head-too-large", "head", "the request line and header fields are too large"};
    if (error == beast::error::timeout)
        return {408, "request-too-slow", "request", "the request did not arrive in time"};
    return {400, "malformed-request", "request", "the request is not valid HTTP/1.1: " + error.message()};
}

/// Takes the request out of the parser.
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
/// byte, or if there is no memory for it before its head is complete.
template<typename State>
std::optional<ReceivedRequest> readRequest(State &state, const std::shared_ptr<Connection> &connection,
                                           beast::flat_buffer &buffer, const HttpLimits &limits,
                                           const Fiber &fiber)
{
    beast::tcp_stream &stream = connection->stream;
    Parser parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.maxHead));
    parser.body_limit(limits.maxBody);
    boost::system::error_code error;
    if (connection->evicted)
        return std::nullopt;
    if (buffer.size() == 0) {
        stream.expires_after(limits.idleTimeout);
        const std::size_t size = stream.async_read_some(buffer.prepare(ReadSize), fiber[error]);
        if (error)
            return std::nullopt;
        buffer.commit(size);
    }
    setPhase(*connection, MemoryBudget::Phase::Receiving);
    const Receiving receiving(state, std::shared_ptr<beast::tcp_stream>(connection, &stream));
    const auto check = [&] {
        return !connection->evicted && reserve(*connection, arrivingBytes(parser, buffer))
                   ? boost::system::error_code()
                   : make_error_code(boost::asio::error::no_memory);
    };
    {
        const ReadDeadline deadline(stream, limits.headTimeout);
        impl::readMessage(stream, buffer, parser, true, check, fiber, error);
        error = deadline.translate(error);
    }
    if (!error && !parser.is_done()) {
        const ReadDeadline deadline(stream, limits.readTimeout);
        impl::readMessage(stream, buffer, parser, false, check, fiber, error);
        error = deadline.translate(error);
    }
    // From here on the connection is not evicted. If it has been, the reservation below fails.
    setPhase(*connection, MemoryBudget::Phase::Serving);
    if (connection->evicted)
        error = boost::asio::error::no_memory;
    ReceivedRequest received;
    received.bytes = servingBytes(parser, buffer);
    if (!error && !reserve(*connection, received.bytes))
        error = boost::asio::error::no_memory;
    if (error == boost::asio::error::no_memory) {
        if (!parser.is_header_done())
            return std::nullopt;
        // Only the refusal is sent, which needs no more than what any connection holds.
        received.request.error = errorFrom(error);
        return received;
    }
    received.keepAlive = parser.get().keep_alive();
    received.knowsChunks = parser.get().version() >= FirstVersionWithChunks;
    received.request = toRequest(parser);
    if (error)
        received.request.error = errorFrom(error);
    return received;
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

/// Serves the requests of a connection until it ends.
template<typename State>
void serve(State &state, const std::shared_ptr<Connection> &connection, const Fiber &fiber)
{
    beast::tcp_stream &stream = connection->stream;
    // Bounds what a caller can make this instance hold with parts of a request that have no end.
    beast::flat_buffer buffer(state.limits().maxHead + MaxReadAheadBytes);
    boost::system::error_code ignored;
    stream.socket().set_option(Tcp::no_delay(true), ignored);
    for (;;) {
        const HttpLimits limits = state.limits();
        auto received = readRequest(state, connection, buffer, limits, fiber);
        if (!received)
            return;
        const ActiveRequest active(state.active);
        BeastExchange exchange(stream, std::move(received->request), limits, received->keepAlive,
                               received->knowsChunks, connection->lease.get(), received->bytes);
        state.handler(exchange, fiber);
        exchange.stopWatchingCaller();
        if (exchange.isBrokenOff())
            return exchange.abort();
        if (!exchange.isReusable())
            break;
        setPhase(*connection, MemoryBudget::Phase::Idle);
        if (connection->lease && buffer.size() == 0)
            buffer.shrink_to_fit();
        if (!reserve(*connection, ConnectionBytes + buffer.capacity()))
            break;
    }
    setPhase(*connection, MemoryBudget::Phase::Idle);
    buffer.clear();
    buffer.shrink_to_fit();
    if (reserve(*connection, ConnectionBytes + ReadSize))
        lingerAndClose(stream, fiber);
}

/// Adds a connection to the memory budget. Returns false if it is refused.
template<typename State>
bool admit(State &state, const std::shared_ptr<Connection> &connection)
{
    if (!state.memory.budget)
        return true;
    connection->lease = state.memory.budget->open(
        state.memory.origin, ConnectionBytes + ReadSize, [weak = std::weak_ptr(connection)] {
            const auto evicted = weak.lock();
            if (!evicted)
                return;
            evicted->evicted = true;
            boost::asio::post(evicted->stream.get_executor(), [evicted] {
                boost::system::error_code ignored;
                evicted->stream.socket().cancel(ignored);
            });
        });
    return connection->lease != nullptr;
}

/// Whether accepting a connection failed because the process or the system lacks descriptors or memory.
bool isExhaustion(const boost::system::error_code &error)
{
    return error == boost::asio::error::no_descriptors
           || error == boost::system::errc::too_many_files_open_in_system
           || error == boost::asio::error::no_buffer_space || error == boost::asio::error::no_memory;
}

template<typename StatePtr>
void acceptLoop(const StatePtr &state, const Fiber &fiber)
{
    /// Pause before the next attempt to accept, so that a lasting failure doesn't keep the process busy.
    constexpr std::chrono::milliseconds AcceptPause{20};
    for (;;) {
        boost::system::error_code error;
        Tcp::socket socket(boost::asio::make_strand(state->io));
        state->acceptor.async_accept(socket, fiber[error]);
        if (error == boost::asio::error::operation_aborted || !state->acceptor.is_open())
            return;
        if (error) {
            if (isExhaustion(error) && state->memory.budget)
                state->memory.budget->recordFailedAccept();
            sleepFor(AcceptPause, fiber);
            continue;
        }
        const auto executor = socket.get_executor();
        const auto connection = std::make_shared<Connection>(std::move(socket));
        if (!admit(*state, connection))
            continue;
        boost::asio::spawn(
            executor, [state, connection](const Fiber &server) { serve(*state, connection, server); },
            boost::asio::detached);
    }
}

} // namespace

HttpServer::HttpServer(io_context &io, const std::string &address, HttpLimits limits, Handler handler,
                       ServerMemory memory)
    : HttpServer(
        io, address, [limits] { return limits; }, std::move(handler), std::move(memory))
{}

HttpServer::HttpServer(io_context &io, const std::string &address, LimitsSource limits, Handler handler,
                       ServerMemory memory)
    : m_state(std::make_shared<State>(io, std::move(limits), std::move(handler), std::move(memory)))
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
