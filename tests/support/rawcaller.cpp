#include "rawcaller.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>

namespace chestnutsill::support {

namespace {

/// Value of a header field in the head of an answer; empty if it has none.
std::string fieldOf(std::string head, std::string name)
{
    const auto lower = [](std::string &text) {
        std::transform(text.begin(), text.end(), text.begin(),
                       [](unsigned char c) { return std::tolower(c); });
    };
    lower(head);
    lower(name);
    const auto found = head.find("\r\n" + name + ": ");
    if (found == std::string::npos)
        return {};
    const auto begin = found + name.size() + 4;
    return head.substr(begin, head.find('\r', begin) - begin);
}

} // namespace

RawAnswer exchangeBytes(const std::string &address, std::string_view request,
                        std::chrono::milliseconds timeout,
                        const std::function<void(const std::string &)> &onBytes)
{
    RawAnswer answer;
    const auto colon = address.find(':');
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &endpoint.sin_addr);
    const int connection = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval wait{timeout.count() / 1000, (timeout.count() % 1000) * 1000};
    ::setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
    bool open = ::connect(connection, reinterpret_cast<sockaddr *>(&endpoint), sizeof endpoint) == 0;
    open = open && ::send(connection, request.data(), request.size(), MSG_NOSIGNAL) > 0;
    std::array<char, 16'384> buffer{};
    while (open) {
        const auto count = ::recv(connection, buffer.data(), buffer.size(), 0);
        // A call with a timeout is not restarted after a signal, such as one about a child that was stopped.
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0) {
            answer.error = count == 0 ? 0 : errno;
            answer.end = count == 0            ? RawAnswer::End::Closed
                         : errno == ECONNRESET ? RawAnswer::End::Reset
                                               : RawAnswer::End::TimedOut;
            break;
        }
        answer.bytes.append(buffer.data(), static_cast<std::size_t>(count));
        if (onBytes)
            onBytes(answer.bytes);
    }
    ::close(connection);
    return answer;
}

int statusOf(const RawAnswer &answer)
{
    const auto space = answer.bytes.find(' ');
    return space == std::string::npos ? 0 : std::atoi(answer.bytes.c_str() + space + 1);
}

bool looksComplete(const RawAnswer &answer, bool knowsChunks)
{
    const auto end = answer.bytes.find("\r\n\r\n");
    if (end == std::string::npos)
        return false;
    const std::string head = answer.bytes.substr(0, end + 2);
    const std::string body = answer.bytes.substr(end + 4);
    if (const std::string length = fieldOf(head, "Content-Length"); !length.empty())
        return body.size() == std::stoull(length);
    if (knowsChunks && fieldOf(head, "Transfer-Encoding") == "chunked")
        return body.ends_with("0\r\n\r\n");
    return answer.end == RawAnswer::End::Closed;
}

} // namespace chestnutsill::support
