#pragma once

#include <string>
#include <string_view>

namespace chestnutsill {

/// Divides a stream of server-sent events (text/event-stream) at the ends of events, so that only whole
/// events are passed on and a broken stream can go on after the last one.
class EventSplitter
{
public:
    /// Takes the next bytes of the stream and returns the whole events that they complete, byte for byte.
    [[nodiscard]] std::string push(std::string_view bytes);

    /// Bytes of an event that has not ended yet.
    [[nodiscard]] std::string_view pendingBytes() const noexcept { return m_pending; }

    /// Drops a begun event, when another stream goes on.
    void reset() noexcept { m_pending.clear(); }

    /// Id of the last whole event; empty before the first one with an id.
    [[nodiscard]] const std::string &lastEventId() const noexcept { return m_lastEventId; }

private:
    std::string m_pending;
    std::string m_lastEventId;
};

} // namespace chestnutsill
