#include "chestnutsill/router/eventsplitter.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <optional>

namespace chestnutsill {

namespace {

/// Removes the first line from `text` and returns it without its end.
std::string_view takeLine(std::string_view &text)
{
    const auto end = text.find('\n');
    std::string_view line = text.substr(0, end);
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    return line;
}

/// Value of an `id:` field; nothing if the line is none.
std::optional<std::string_view> idIn(std::string_view line)
{
    constexpr std::string_view Field = "id:";
    if (!line.starts_with(Field))
        return std::nullopt;
    std::string_view id = line.substr(Field.size());
    id.remove_prefix(std::min(id.find_first_not_of(' '), id.size()));
    return id;
}

/// Value of the last `id:` field in `events`; empty if there is none, in which case the last id stays in
/// effect.
std::string_view lastIdIn(std::string_view events)
{
    std::string_view id;
    while (!events.empty())
        id = idIn(takeLine(events)).value_or(id);
    return id;
}

/// Whether an id comes after another one.
bool comesAfter(std::string_view id, std::string_view lastId)
{
    const auto numberOf = [](std::string_view text) {
        std::uint64_t number = 0;
        const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        const bool isNumber = error == std::errc() && stop == text.data() + text.size();
        return isNumber ? std::optional(number) : std::nullopt;
    };
    const auto number = numberOf(id);
    const auto last = numberOf(lastId);
    return number && last ? *number > *last : !id.empty() && id != lastId;
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

bool carriesData(std::string_view events)
{
    while (!events.empty()) {
        if (takeLine(events).starts_with("data"))
            return true;
    }
    return false;
}

Continuation continuationOf(std::string_view events, std::string_view lastId)
{
    std::string_view id;
    bool hasContent = false;
    while (!events.empty()) {
        const std::string_view line = takeLine(events);
        id = idIn(line).value_or(id);
        const bool isNeutral = line.empty() || line.starts_with(':') || line.starts_with("retry:");
        hasContent = hasContent || !isNeutral;
        if (!line.empty())
            continue;
        if (hasContent)
            return comesAfter(id, lastId) ? Continuation::Follows : Continuation::Differs;
        id = {};
    }
    return Continuation::Unknown;
}

} // namespace chestnutsill
