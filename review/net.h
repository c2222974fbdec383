#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

/// Sockets and HTTP/1.1 messages for the stand-ins of the review.
namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Field names in lower case.
using Fields = std::map<std::string, std::string>;

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline sockaddr_in toSockaddr(const std::string &address)
{
    const auto colon = address.rfind(':');
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

/// Closes its socket at the end.
class Socket
{
public:
    explicit Socket(int fd = -1)
        : m_fd(fd)
    {}
    ~Socket() { close(); }
    Socket(Socket &&other) noexcept
        : m_fd(other.m_fd)
    {
        other.m_fd = -1;
    }
    Socket &operator=(Socket &&other) noexcept
    {
        if (this != &other) {
            close();
            m_fd = other.m_fd;
            other.m_fd = -1;
        }
        return *this;
    }

    [[nodiscard]] int fd() const { return m_fd; }
    [[nodiscard]] bool isOpen() const { return m_fd >= 0; }

    void close()
    {
        if (m_fd >= 0)
            ::close(m_fd);
        m_fd = -1;
    }

    /// Makes the close a reset.
    void reset()
    {
        const linger option{1, 0};
        ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
        close();
    }

    bool write(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const auto size = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (size <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(size));
        }
        return true;
    }

    /// Whether bytes or the end arrive before a time.
    [[nodiscard]] bool waitReadable(Clock::time_point until) const
    {
        const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
        pollfd item{m_fd, POLLIN, 0};
        return ::poll(&item, 1, left > 0 ? static_cast<int>(left) + 1 : 0) > 0;
    }

private:
    int m_fd;
};

inline Socket listenOn(const std::string &address)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    ::setsockopt(socket.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in endpoint = toSockaddr(address);
    if (::bind(socket.fd(), reinterpret_cast<const sockaddr *>(&endpoint), sizeof endpoint) != 0
        || ::listen(socket.fd(), 512) != 0)
        socket.close();
    return socket;
}

inline Socket acceptFrom(const Socket &listener)
{
    Socket socket(::accept4(listener.fd(), nullptr, nullptr, SOCK_CLOEXEC));
    const int on = 1;
    ::setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return socket;
}

inline Socket connectTo(const std::string &address)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in endpoint = toSockaddr(address);
    if (::connect(socket.fd(), reinterpret_cast<const sockaddr *>(&endpoint), sizeof endpoint) != 0)
        socket.close();
    const int on = 1;
    if (socket.isOpen())
        ::setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return socket;
}

/// A free port of a loopback address.
inline int freePort(const std::string &ip)
{
    const Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in endpoint = toSockaddr(ip + ":0");
    socklen_t size = sizeof endpoint;
    if (::bind(socket.fd(), reinterpret_cast<const sockaddr *>(&endpoint), size) != 0)
        return 0;
    ::getsockname(socket.fd(), reinterpret_cast<sockaddr *>(&endpoint), &size);
    return ntohs(endpoint.sin_port);
}

/// A request or a response as it was read.
struct Message
{
    /// Request line or status line.
    std::string start;
    Fields fields;
    std::string body;
    /// Whether the end was reached in the way that its framing marks it.
    bool isComplete = false;

    [[nodiscard]] std::string field(const std::string &name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
    [[nodiscard]] int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
    [[nodiscard]] std::string method() const { return start.substr(0, start.find(' ')); }
    [[nodiscard]] std::string target() const
    {
        const auto first = start.find(' ');
        return start.substr(first + 1, start.find(' ', first + 1) - first - 1);
    }
};

/// Reads messages from one connection.
class Reader
{
public:
    explicit Reader(const Socket &socket)
        : m_socket(socket)
    {}

    /// Reads a message until a time; nothing if no head arrives. Without length and chunks a response ends
    /// with its connection.
    std::optional<Message> read(bool isResponse, Clock::time_point until)
    {
        std::size_t end = std::string::npos;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until))
                return std::nullopt;
        }
        Message message = parseHead(m_buffer.substr(0, end + 2));
        m_buffer.erase(0, end + 4);
        if (message.field("transfer-encoding") == "chunked") {
            message.isComplete = readChunks(message.body, until);
        } else if (message.fields.contains("content-length")) {
            const auto length = static_cast<std::size_t>(std::stoull(message.field("content-length")));
            while (m_buffer.size() < length && fill(until)) {
            }
            message.body = m_buffer.substr(0, length);
            message.isComplete = message.body.size() == length;
            m_buffer.erase(0, message.body.size());
        } else if (isResponse) {
            while (fill(until)) {
            }
            message.body = std::exchange(m_buffer, {});
            message.isComplete = m_hasEnded;
        } else {
            message.isComplete = true;
        }
        return message;
    }

    /// Whether the other side has ended the connection, and whether by a reset.
    [[nodiscard]] bool hasEnded() const { return m_hasEnded; }
    [[nodiscard]] bool wasReset() const { return m_wasReset; }

private:
    bool fill(Clock::time_point until)
    {
        if (!m_socket.waitReadable(until))
            return false;
        char bytes[16384];
        const auto size = ::recv(m_socket.fd(), bytes, sizeof bytes, 0);
        m_hasEnded = m_hasEnded || size == 0;
        m_wasReset = m_wasReset || size < 0;
        if (size > 0)
            m_buffer.append(bytes, static_cast<std::size_t>(size));
        return size > 0;
    }

    static Message parseHead(std::string_view head)
    {
        Message message;
        message.start = head.substr(0, head.find("\r\n"));
        head.remove_prefix(message.start.size() + 2);
        while (!head.empty()) {
            const std::string_view line = head.substr(0, head.find("\r\n"));
            head.remove_prefix(line.size() + 2);
            const auto colon = line.find(':');
            std::string name(line.substr(0, colon));
            for (char &letter : name)
                letter = letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
            std::string_view value = line.substr(colon + 1);
            value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
            message.fields[name] = value;
        }
        return message;
    }

    bool readChunks(std::string &body, Clock::time_point until)
    {
        for (;;) {
            std::size_t end = std::string::npos;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (!fill(until))
                    return false;
            }
            const std::size_t size = std::stoull(m_buffer, nullptr, 16);
            while (m_buffer.size() < end + 2 + size + 2) {
                if (!fill(until))
                    return false;
            }
            body += m_buffer.substr(end + 2, size);
            m_buffer.erase(0, end + 2 + size + 2);
            if (size == 0)
                return true;
        }
    }

    const Socket &m_socket;
    std::string m_buffer;
    bool m_hasEnded = false;
    bool m_wasReset = false;
};

} // namespace review
