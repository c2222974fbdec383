#include "impl/beastexchange.h"

#include "chestnutsill/net/connectionlease.h"

#include <boost/asio/socket_base.hpp>

#include <sys/socket.h>

#include <cerrno>

namespace chestnutsill::impl {

namespace {

/// Bodies of complete responses up to this size fit into what is reserved for each request, so that refusals
/// are always sent.
constexpr std::size_t MaxFreeBodyBytes = 16'384;

} // namespace

BeastExchange::BeastExchange(beast::tcp_stream &stream, HttpRequest request, const HttpLimits &limits,
                             bool keepAlive, bool knowsChunks, ConnectionLease *lease,
                             std::size_t reservedBytes)
    : m_stream(stream)
    , m_request(std::move(request))
    , m_limits(limits)
    , m_keepAlive(keepAlive)
    , m_knowsChunks(knowsChunks)
    , m_lease(lease)
    , m_reservedBytes(reservedBytes)
{}

bool BeastExchange::respond(int status, std::string_view contentType, std::string_view body,
                            std::span<const HttpField> fields, const Fiber &fiber)
{
    // The body and its copy in the response are held until the caller has read it.
    if (body.size() > MaxFreeBodyBytes && !reserveMemory(2 * body.size())) {
        abort();
        return false;
    }
    http::response<http::string_body> response(static_cast<http::status>(status), 11);
    setFields(response, contentType, fields);
    response.keep_alive(m_keepAlive && !m_request.error);
    response.body().assign(body.data(), body.size());
    response.prepare_payload();
    boost::system::error_code error;
    m_stream.expires_after(m_limits.writeTimeout);
    http::async_write(m_stream, response, fiber[error]);
    return checkResult(error);
}

bool BeastExchange::startStream(int status, std::string_view contentType, std::span<const HttpField> fields,
                                const Fiber &fiber)
{
    http::response<http::empty_body> response(static_cast<http::status>(status), 11);
    setFields(response, contentType, fields);
    response.keep_alive(m_keepAlive && !m_request.error);
    return sendHead(response, std::nullopt, fiber);
}

bool BeastExchange::startRelay(int status, std::span<const HttpField> fields,
                               std::optional<std::uint64_t> length, const Fiber &fiber)
{
    http::response<http::empty_body> response(static_cast<http::status>(status), 11);
    for (const HttpField &field : fields)
        response.insert(field.name, field.value);
    response.keep_alive(m_keepAlive);
    return sendHead(response, length, fiber);
}

bool BeastExchange::sendPiece(std::string_view piece, const Fiber &fiber)
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

bool BeastExchange::endStream(const Fiber &fiber)
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

void BeastExchange::abort()
{
    boost::system::error_code ignored;
    m_stream.socket().close(ignored);
    m_failed = true;
}

bool BeastExchange::callerGone()
{
    char byte = 0;
    const auto received = ::recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void BeastExchange::watchCaller(std::function<void()> onGone)
{
    m_onGone = std::make_shared<std::function<void()>>(std::move(onGone));
    m_stream.socket().async_wait(Tcp::socket::wait_read, [this, watch = std::weak_ptr(m_onGone)](
                                                             const boost::system::error_code &error) {
        const auto onGone = watch.lock();
        if (!error && onGone && callerGone())
            (*onGone)();
    });
}

bool BeastExchange::reserveMemory(std::size_t bytes)
{
    return m_lease == nullptr || m_lease->resize(m_reservedBytes + bytes);
}

void BeastExchange::stopWatchingCaller()
{
    if (!m_onGone)
        return;
    m_onGone.reset();
    boost::system::error_code ignored;
    m_stream.socket().cancel(ignored);
}

bool BeastExchange::sendHead(Head &head, std::optional<std::uint64_t> length, const Fiber &fiber)
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

void BeastExchange::setResetOnClose(bool resets)
{
    boost::system::error_code ignored;
    m_stream.socket().set_option(boost::asio::socket_base::linger(resets, 0), ignored);
}

void BeastExchange::setFields(http::fields &response, std::string_view contentType,
                              std::span<const HttpField> fields)
{
    response.set(http::field::content_type, toBeast(contentType));
    for (const HttpField &field : fields)
        response.set(field.name, field.value);
}

bool BeastExchange::checkResult(const boost::system::error_code &error)
{
    m_failed = m_failed || error;
    return !m_failed;
}

} // namespace chestnutsill::impl
