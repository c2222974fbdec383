#include "rawserver.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>

namespace chestnutsill::support {

namespace {

/// The value of the request's attempt id; empty if it has none.
std::string attemptIdOf(const std::string &request)
{
    constexpr std::string_view Field = "X-Attempt-Id: ";
    const auto found = request.find(Field);
    if (found == std::string::npos)
        return {};
    const auto begin = found + Field.size();
    return request.substr(begin, request.find('\r', begin) - begin);
}

} // namespace

RawServer::RawServer(RawResponse response)
    : RawServer(response, response)
{}

RawServer::RawServer(RawResponse response, RawResponse resumed)
    : m_response(std::move(response))
    , m_resumed(std::move(resumed))
    , m_listener(::socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    constexpr int Backlog = 64;
    if (::bind(m_listener, reinterpret_cast<sockaddr *>(&address), size) != 0
        || ::listen(m_listener, Backlog) != 0
        || ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size) != 0)
        throw std::runtime_error("cannot listen on a loopback port");
    m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    m_threads.emplace_back([this] { acceptConnections(); });
}

RawServer::~RawServer()
{
    m_stopping = true;
    ::shutdown(m_listener, SHUT_RDWR);
    m_threads.front().join();
    for (const int connection : m_connections)
        ::shutdown(connection, SHUT_RDWR);
    for (std::size_t i = 1; i < m_threads.size(); ++i)
        m_threads[i].join();
    for (const int connection : m_connections)
        ::close(connection);
    ::close(m_listener);
}

void RawServer::acceptConnections()
{
    while (!m_stopping) {
        const int connection = ::accept(m_listener, nullptr, nullptr);
        if (connection < 0)
            continue;
        const std::lock_guard lock(m_mutex);
        m_connections.push_back(connection);
        m_threads.emplace_back([this, connection] { serve(connection); });
    }
}

bool RawServer::sendAll(int connection, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(connection, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

void RawServer::reset(int connection)
{
    const linger noLinger{1, 0};
    ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &noLinger, sizeof noLinger);
    const std::lock_guard lock(m_mutex);
    std::erase(m_connections, connection);
    ::close(connection);
}

void RawServer::readRest(int connection)
{
    std::vector<char> buffer(1 << 16);
    while (::recv(connection, buffer.data(), buffer.size(), 0) > 0) {
    }
}

void RawServer::serve(int connection)
{
    std::string request;
    std::array<char, 4096> buffer{};
    while (request.find("\r\n\r\n") == std::string::npos) {
        const auto count = ::recv(connection, buffer.data(), buffer.size(), 0);
        if (count <= 0)
            return;
        request.append(buffer.data(), static_cast<std::size_t>(count));
    }
    ++m_requests;
    const RawResponse &response =
        request.find("Last-Event-Id: ") == std::string::npos ? m_response : m_resumed;
    std::string head = response.head;
    if (const auto mark = head.find("{id}"); mark != std::string::npos)
        head.replace(mark, 4, attemptIdOf(request));
    bool open = sendAll(connection, head);
    std::int64_t total = 0;
    for (int i = 0; open && !m_stopping && i != response.fillerCount; ++i) {
        open = sendAll(connection, response.filler);
        total += static_cast<std::int64_t>(response.filler.size());
        if (total > MaxBytes) {
            m_reachedLimit = true;
            return;
        }
        if (response.pause.count() > 0)
            std::this_thread::sleep_for(response.pause);
    }
    const bool closes = !response.resets || response.closedBeforeReset.count() >= 0;
    if (open && closes)
        ::shutdown(connection, SHUT_WR);
    if (open && response.resets) {
        if (closes)
            std::this_thread::sleep_for(response.closedBeforeReset);
        reset(connection);
    } else if (open && response.readsRest) {
        readRest(connection);
    }
    if (!open && !m_stopping)
        ++m_closedByPeer;
}

} // namespace chestnutsill::support
