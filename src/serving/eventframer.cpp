#include "serving/eventframer.h"

#include <algorithm>
#include <cstdint>

namespace jujube::serving {

namespace {

// Position after the empty line that ends the event which starts at a position. Lines may end with
// LF or CR LF.
size_t endOfEvent(std::string_view text, size_t from)
{
    const size_t lf = text.find("\n\n", from);
    const size_t crlf = text.find("\n\r\n", from);
    if (lf == std::string_view::npos && crlf == std::string_view::npos)
        return std::string_view::npos;
    return crlf < lf ? crlf + 3 : lf + 2;
}

} // namespace

size_t EventFramer::count(std::string_view bytes)
{
    size_t n = 0;
    for (size_t end = endOfEvent(bytes, 0); end != std::string_view::npos;
         end = endOfEvent(bytes, end))
        ++n;
    return n;
}

std::string EventFramer::add(std::string_view bytes)
{
    m_partialEvent += bytes;
    size_t whole = 0;
    for (size_t end = endOfEvent(m_partialEvent, 0); end != std::string_view::npos;
         end = endOfEvent(m_partialEvent, end)) {
        recordEventId(std::string_view(m_partialEvent).substr(whole, end - whole));
        whole = end;
    }
    std::string events = m_partialEvent.substr(0, whole);
    m_partialEvent.erase(0, whole);
    return events;
}

void EventFramer::recordEventId(std::string_view event)
{
    ++m_events;
    while (!event.empty()) {
        const size_t end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with("id:"))
            continue;
        line.remove_prefix(3);
        while (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        while (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        m_lastId = line;
    }
}

void EventCounter::add(std::string_view bytes)
{
    for (const char c : bytes) {
        const bool endsEvent = c == '\n' && m_ending != Ending::Other;
        if (endsEvent)
            ++m_count;
        m_partial = !endsEvent;
        if (c == '\n')
            m_ending = endsEvent ? Ending::Other : Ending::LineFeed;
        else if (c == '\r' && m_ending == Ending::LineFeed)
            m_ending = Ending::LineFeedCarriageReturn;
        else
            m_ending = Ending::Other;
    }
}

} // namespace jujube::serving
