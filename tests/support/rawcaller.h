#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <string_view>

namespace chestnutsill::support {

/// What a caller has received on a connection of its own until its end.
struct RawAnswer
{
    std::string bytes;
    enum class End { Closed, Reset, TimedOut } end = End::TimedOut;
    /// Error code of the last call that failed; 0 if the connection was closed properly.
    int error = 0;
};

/// Opens a connection, sends bytes and receives until the connection ends, for at most `timeout`. `onBytes`,
/// if given, is called with all bytes so far each time that some have arrived.
[[nodiscard]] RawAnswer exchangeBytes(const std::string &address, std::string_view request,
                                      std::chrono::milliseconds timeout,
                                      const std::function<void(const std::string &)> &onBytes = {});

/// Status of the answer; 0 without a status line.
[[nodiscard]] int statusOf(const RawAnswer &answer);

/// Whether a caller takes the answer for complete. One that speaks HTTP/1.0 knows no chunks.
[[nodiscard]] bool looksComplete(const RawAnswer &answer, bool knowsChunks);

} // namespace chestnutsill::support
