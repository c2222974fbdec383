#pragma once

// Small blocking HTTP/1.1 server and client on POSIX sockets, for the stand-ins of the review cases.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <strings.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using Headers = std::vector<std::pair<std::string, std::string>>;

/// Request or response: `first` is the request line or status line.
struct Message
{
    std::string first;
    Headers headers;
    std::string body;

    [[nodiscard]] std::string field(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (::strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }
    /// Status of a response, 0 if it is malformed.
    [[nodiscard]] int status() const { return first.size() < 12 ? 0 : std::atoi(first.c_str() + 9); }
    /// Target of a request.
    [[nodiscard]] std::string target() const
    {
        const auto begin = first.find(' ') + 1;
        return first.substr(begin, first.find(' ', begin) - begin);
    }
};

inline sockaddr_in toAddress(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// One TCP connection. Reads fail at their deadline.
class Connection
{
public:
    explicit Connection(int fd)
        : m_fd(fd)
    {
        const int on = 1;
        ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection() { ::close(m_fd); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Opens a connection; null if that fails within the timeout.
    static std::unique_ptr<Connection> open(const std::string &ip, int port, milliseconds timeout)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (fd < 0)
            return nullptr;
        auto connection = std::make_unique<Connection>(fd);
        const sockaddr_in address = toAddress(ip, port);
        if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
            if (errno != EINPROGRESS || !connection->wait(POLLOUT, Clock::now() + timeout))
                return nullptr;
            int error = 0;
            socklen_t size = sizeof error;
            ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
            if (error != 0)
                return nullptr;
        }
        return connection;
    }

    bool send(const std::string &bytes, milliseconds timeout = milliseconds(5000))
    {
        const auto deadline = Clock::now() + timeout;
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto n =
                ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (n > 0)
                sent += static_cast<std::size_t>(n);
            else if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) && wait(POLLOUT, deadline))
                continue;
            else
                return false;
        }
        return true;
    }

    /// Reads a head; nothing if the connection ends or the deadline passes before its end.
    std::optional<Message> readHead(Clock::time_point deadline)
    {
        std::size_t end = std::string::npos;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(deadline))
                return std::nullopt;
        }
        Message message;
        const std::string head = m_buffer.substr(0, end + 2);
        m_buffer.erase(0, end + 4);
        std::size_t at = head.find("\r\n");
        message.first = head.substr(0, at);
        at += 2;
        while (at < head.size()) {
            const auto stop = head.find("\r\n", at);
            const std::string line = head.substr(at, stop - at);
            at = stop + 2;
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(" \t"));
            message.headers.emplace_back(line.substr(0, colon), value);
        }
        return message;
    }

    /// Reads the body that the head announces. False if it breaks off.
    bool readBody(Message &message, Clock::time_point deadline)
    {
        if (::strcasecmp(message.field("Transfer-Encoding").c_str(), "chunked") == 0) {
            for (;;) {
                std::string line;
                if (!readLine(line, deadline))
                    return false;
                const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
                std::string chunk;
                if (!readBytes(chunk, size + 2, deadline))
                    return false;
                if (size == 0)
                    return true;
                message.body += chunk.substr(0, size);
            }
        }
        const std::string length = message.field("Content-Length");
        return length.empty() || readBytes(message.body, std::strtoul(length.c_str(), nullptr, 10), deadline);
    }

    /// Whether the peer has closed the connection, without taking bytes from it.
    [[nodiscard]] bool peerClosed() const
    {
        char byte = 0;
        const auto n = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    /// Ends the connection; with `reset` by a reset.
    void end(bool reset = false)
    {
        if (reset) {
            const linger option{1, 0};
            ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
        }
        ::shutdown(m_fd, SHUT_RDWR);
    }

    [[nodiscard]] int fd() const { return m_fd; }

private:
    [[nodiscard]] bool wait(short events, Clock::time_point deadline) const
    {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - Clock::now()).count();
        pollfd item{m_fd, events, 0};
        return ::poll(&item, 1, static_cast<int>(std::max<long long>(left, 0))) > 0;
    }

    bool fill(Clock::time_point deadline)
    {
        char bytes[16384];
        for (;;) {
            const auto n = ::recv(m_fd, bytes, sizeof bytes, MSG_DONTWAIT);
            if (n > 0) {
                m_buffer.append(bytes, static_cast<std::size_t>(n));
                return true;
            }
            if (n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK) || !wait(POLLIN, deadline))
                return false;
        }
    }

    bool readLine(std::string &line, Clock::time_point deadline)
    {
        std::size_t end = std::string::npos;
        while ((end = m_buffer.find("\r\n")) == std::string::npos) {
            if (!fill(deadline))
                return false;
        }
        line = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 2);
        return true;
    }

    bool readBytes(std::string &bytes, std::size_t size, Clock::time_point deadline)
    {
        while (m_buffer.size() < size) {
            if (!fill(deadline))
                return false;
        }
        bytes += m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return true;
    }

    int m_fd;
    std::string m_buffer;
};

inline std::string encode(const std::string &first, const Headers &headers, const std::string &body)
{
    std::string text = first + "\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string response(int status, const Headers &headers, const std::string &body)
{
    return encode("HTTP/1.1 " + std::to_string(status) + " Status", headers, body);
}

/// Sends a request on a connection and reads the whole response.
inline std::optional<Message> exchange(Connection &connection, const std::string &method,
                                       const std::string &target, const Headers &headers,
                                       const std::string &body, milliseconds timeout)
{
    const auto deadline = Clock::now() + timeout;
    if (!connection.send(encode(method + ' ' + target + " HTTP/1.1", headers, body), timeout))
        return std::nullopt;
    auto answer = connection.readHead(deadline);
    if (!answer || !connection.readBody(*answer, deadline))
        return std::nullopt;
    return answer;
}

/// The same on a new connection.
inline std::optional<Message> call(const std::string &ip, int port, const std::string &method,
                                   const std::string &target, const Headers &headers, const std::string &body,
                                   milliseconds timeout)
{
    const auto connection = Connection::open(ip, port, milliseconds(1000));
    return connection ? exchange(*connection, method, target, headers, body, timeout) : std::nullopt;
}

/// Server with a thread for each connection. The handler responds on the connection and returns whether it
/// stays open.
class Server
{
public:
    using Handler = std::function<bool(Connection &, Message &)>;

    Server(const std::string &ip, int port, Handler handler)
        : m_handler(std::move(handler))
        , m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int on = 1;
        ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = toAddress(ip, port);
        if (::bind(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
            || ::listen(m_fd, 512) != 0)
            throw std::runtime_error("cannot listen on " + ip + ':' + std::to_string(port));
        m_acceptor = std::thread([this] { accept(); });
    }
    ~Server()
    {
        m_stopped = true;
        ::shutdown(m_fd, SHUT_RDWR);
        m_acceptor.join();
        ::close(m_fd);
        endConnections();
        while (m_active > 0)
            std::this_thread::sleep_for(milliseconds(5));
    }
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// Ends all connections, as when the process behind them ends.
    void endConnections(bool reset = false)
    {
        const std::lock_guard lock(m_mutex);
        for (Connection *connection : m_connections)
            connection->end(reset);
    }

    /// Stops accepting and resets all connections, as when the process behind them crashes.
    void crash()
    {
        m_stopped = true;
        ::shutdown(m_fd, SHUT_RDWR);
        endConnections(true);
    }

private:
    void accept()
    {
        for (;;) {
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (m_stopped) {
                if (fd >= 0)
                    ::close(fd);
                return;
            }
            if (fd < 0)
                continue;
            ++m_active;
            std::thread([this, fd] {
                serve(fd);
                --m_active;
            }).detach();
        }
    }

    void serve(int fd)
    {
        Connection connection(fd);
        std::list<Connection *>::iterator place;
        {
            const std::lock_guard lock(m_mutex);
            place = m_connections.insert(m_connections.end(), &connection);
        }
        for (;;) {
            const auto deadline = Clock::now() + std::chrono::seconds(60);
            auto request = connection.readHead(deadline);
            if (m_stopped || !request || !connection.readBody(*request, deadline)
                || !m_handler(connection, *request))
                break;
        }
        const std::lock_guard lock(m_mutex);
        m_connections.erase(place);
    }

    Handler m_handler;
    int m_fd;
    std::atomic<bool> m_stopped = false;
    std::atomic<int> m_active = 0;
    std::mutex m_mutex;
    std::list<Connection *> m_connections;
    std::thread m_acceptor;
};

} // namespace review
