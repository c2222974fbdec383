#pragma once

#include "chestnutsill/net/fiber.h"
#include "impl/beast.h"

#include <cstddef>

namespace chestnutsill::impl {

/// Parser that knows how many header and trailer lines it holds.
template<bool isRequest, typename Body>
class CountingParser : public http::parser<isRequest, Body>
{
public:
    [[nodiscard]] std::size_t lineCount() const noexcept { return m_lineCount; }
    /// Bytes of the names and values of all lines.
    [[nodiscard]] std::size_t lineBytes() const noexcept { return m_lineBytes; }

private:
    void on_field_impl(http::field name, beast::string_view text, beast::string_view value,
                       boost::system::error_code & /*error*/) override
    {
        ++m_lineCount;
        m_lineBytes += text.size() + value.size();
        this->get().insert(name, text, value);
    }

    std::size_t m_lineCount = 0;
    std::size_t m_lineBytes = 0;
};

/// Reads a message until the end of its head, or of the whole message if `headOnly` is false, as
/// `http::async_read_header` and `http::async_read` do. Calls `check` after each read and stops with its
/// error if it returns one.
template<typename Parser, typename Check>
void readMessage(beast::tcp_stream &stream, beast::flat_buffer &buffer, Parser &parser, bool headOnly,
                 const Check &check, const Fiber &fiber, boost::system::error_code &error)
{
    /// Maximum number of bytes of one read.
    constexpr std::size_t MaxReadBytes = 65'536;
    parser.eager(!headOnly);
    bool needsBytes = buffer.size() == 0;
    while (headOnly ? !parser.is_header_done() : !parser.is_done()) {
        if (needsBytes) {
            const std::size_t space = beast::read_size(buffer, MaxReadBytes);
            if (space == 0) {
                error = http::error::buffer_overflow;
                return;
            }
            const std::size_t size = stream.async_read_some(buffer.prepare(space), fiber[error]);
            buffer.commit(size);
            if (error == boost::asio::error::eof) {
                error = {};
                if (parser.got_some())
                    parser.put_eof(error);
                else
                    error = http::error::end_of_stream;
                return;
            }
            if (error)
                return;
        }
        buffer.consume(parser.put(buffer.data(), error));
        needsBytes = error == http::error::need_more || buffer.size() == 0;
        if (error == http::error::need_more)
            error = {};
        if (!error)
            error = check();
        if (error)
            return;
    }
}

} // namespace chestnutsill::impl
