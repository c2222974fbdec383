#include "chestnutsill/router/eventsplitter.h"

#include <algorithm>

namespace chestnutsill {

namespace {

/// Value of the last `id:` field in `events`; empty if there is none, in which case the last id stays in
/// effect.
std::string_view lastIdIn(std::string_view events)
{
    constexpr std::string_view Field = "id:";
    std::string_view id;
    while (!events.empty()) {
        const auto end = events.find('\n');
        std::string_view line = events.substr(0, end);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (line.starts_with(Field)) {
            id = line.substr(Field.size());
            id.remove_prefix(std::min(id.find_first_not_of(' '), id.size()));
        }
        events = end == std::string_view::npos ? std::string_view() : events.substr(end + 1);
    }
    return id;
}

/// Offset just after the last empty line, which ends an event; 0 if there is none.
std::size_t endOfLastEvent(std::string_view text)
{
    std::size_t end = 0;
    for (const std::string_view mark : {std::string_view("\n\n"), std::string_view("\n\r\n")}) {
        const auto found = text.rfind(mark);
        if (found != std::string_view::npos)
            end = std::max(end, found + mark.size());
    }
    return end;
}

} // namespace

std::string EventSplitter::push(std::string_view bytes)
{
    m_pending += bytes;
    const std::size_t end = endOfLastEvent(m_pending);
    std::string events = m_pending.substr(0, end);
    m_pending.erase(0, end);
    if (const std::string_view id = lastIdIn(events); !id.empty())
        m_lastEventId = id;
    return events;
}

} // namespace chestnutsill
