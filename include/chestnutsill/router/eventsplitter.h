#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace chestnutsill {

/// Splits a stream of server-sent events (text/event-stream) at event boundaries, so that only complete
/// events are forwarded and a broken stream can be resumed after the last one.
class EventSplitter
{
public:
    /// Maximum size of an incomplete event that a caller of `push` should accept.
    static constexpr std::size_t MaxPendingBytes = 1 << 20;

    /// Appends the next bytes of the stream and returns the events that they complete, byte for byte.
    [[nodiscard]] std::string push(std::string_view bytes);

    /// Bytes of an event that is not complete yet.
    [[nodiscard]] std::string_view pendingBytes() const noexcept { return m_pending; }

    /// Discards an incomplete event before another stream continues.
    void reset() noexcept
    {
        m_pending.clear();
        m_eventCount = 0;
    }

    /// Discards all events since the one with this id, which were not forwarded.
    void rewind(std::string lastEventId) noexcept
    {
        reset();
        m_lastEventId = std::move(lastEventId);
    }

    /// Id of the last complete event that has one; empty before the first.
    [[nodiscard]] const std::string &lastEventId() const noexcept { return m_lastEventId; }

    /// Number of complete events since the start or the last `reset`.
    [[nodiscard]] std::size_t eventCount() const noexcept { return m_eventCount; }

private:
    std::string m_pending;
    std::string m_lastEventId;
    std::size_t m_eventCount = 0;
};

/// Whether events contain more than comments, ids and reconnection times, which callers don't see.
[[nodiscard]] bool carriesData(std::string_view events);

/// Whether events go on with a stream.
enum class Continuation {
    Follows,
    /// The events hold only comments and reconnection times, which belong to no place in a stream.
    Unknown,
    Differs,
};

/// Whether complete events follow the one with id `lastId`: the first of them has an id, which comes after
/// `lastId` if both are numbers, and is another one otherwise.
[[nodiscard]] Continuation continuationOf(std::string_view events, std::string_view lastId);

} // namespace chestnutsill
