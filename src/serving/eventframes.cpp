#include "serving/eventframes.h"

#include <algorithm>
#include <cstdint>

namespace jujube::serving {

std::string EventFrames::add(std::string_view bytes)
{
    m_rest += bytes;
    size_t whole = 0;
    while (true) {
        // An empty line ends an event; either line ending is allowed.
        const size_t lf = m_rest.find("\n\n", whole);
        const size_t crlf = m_rest.find("\n\r\n", whole);
        if (lf == std::string::npos && crlf == std::string::npos)
            break;
        const size_t end = crlf < lf ? crlf + 3 : lf + 2;
        noteEvent(std::string_view(m_rest).substr(whole, end - whole));
        whole = end;
    }
    std::string events = m_rest.substr(0, whole);
    m_rest.erase(0, whole);
    return events;
}

void EventFrames::noteEvent(std::string_view event)
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

} // namespace jujube::serving
