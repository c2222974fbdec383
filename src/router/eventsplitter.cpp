#include "chestnutsill/router/eventsplitter.h"

#include <algorithm>
#include <array>

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

/// The empty lines that end an event, with the end of the line before.
constexpr std::array<std::string_view, 2> EndMarks{"\n\n", "\n\r\n"};

/// Offset just after the last empty line, which ends an event; 0 if there is none.
std::size_t endOfLastEvent(std::string_view text)
{
    std::size_t end = 0;
    for (const std::string_view mark : EndMarks) {
        const auto found = text.rfind(mark);
        if (found != std::string_view::npos)
            end = std::max(end, found + mark.size());
    }
    return end;
}

/// Number of complete events in a text that ends with one.
std::size_t countEvents(std::string_view events)
{
    std::size_t count = 0;
    for (const std::string_view mark : EndMarks) {
        for (auto at = events.find(mark); at != std::string_view::npos;
             at = events.find(mark, at + mark.size()))
            ++count;
    }
    return count;
}

} // namespace

std::string EventSplitter::push(std::string_view bytes)
{
    m_pending += bytes;
    const std::size_t end = endOfLastEvent(m_pending);
    std::string events = m_pending.substr(0, end);
    m_pending.erase(0, end);
    m_eventCount += countEvents(events);
    if (const std::string_view id = lastIdIn(events); !id.empty())
        m_lastEventId = id;
    return events;
}

} // namespace chestnutsill
