#pragma once

/** \file
 * Defines the cutting of an event stream into whole events.
 */

#include <cstdint>
#include <string>
#include <string_view>

namespace jujube::serving {

/** Collects the bytes of an event stream and gives them back in whole events.
 *
 * An endpoint may stop in the middle of an event; what was not whole is never shown to a client, so
 * another endpoint can go on after the last whole one.
 */
class EventFramer
{
public:
    /** Events that end within some bytes. */
    static size_t count(std::string_view bytes);
    /** Takes bytes and returns all whole events so far that were not returned yet. */
    std::string add(std::string_view bytes);
    /** Id of the last whole event; empty if none had one. */
    const std::string &lastId() const { return m_lastId; }
    bool partial() const { return !m_partialEvent.empty(); }
    size_t partialBytes() const { return m_partialEvent.size(); }
    /** Drops what is not whole, before another endpoint goes on. */
    void dropPartial() { m_partialEvent.clear(); }
    uint64_t eventCount() const { return m_events; }

private:
    void recordEventId(std::string_view event);

    std::string m_partialEvent;
    std::string m_lastId;
    uint64_t m_events = 0;
};

} // namespace jujube::serving
