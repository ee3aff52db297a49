#pragma once

/** \file
 * Defines the framing of an event stream into complete events.
 */

#include <cstdint>
#include <string>
#include <string_view>

namespace jujube::serving {

/** Collects the bytes of an event stream and returns them in complete events.
 *
 * An endpoint may stop in the middle of an event. A client never receives an incomplete event, so
 * another endpoint can resume the stream after the last complete one.
 */
class EventFramer
{
public:
    /** \return the number of events that end within the bytes. */
    static size_t count(std::string_view bytes);
    /** Appends bytes. \return all complete events that were not returned yet. */
    std::string add(std::string_view bytes);
    /** Id of the last complete event that had one; empty if none had. */
    const std::string &lastId() const { return m_lastId; }
    bool partial() const { return !m_partialEvent.empty(); }
    size_t partialBytes() const { return m_partialEvent.size(); }
    /** Drops an incomplete event, before another endpoint resumes the stream. */
    void dropPartial() { m_partialEvent.clear(); }
    uint64_t eventCount() const { return m_events; }

private:
    void recordEventId(std::string_view event);

    std::string m_partialEvent;
    std::string m_lastId;
    uint64_t m_events = 0;
};

/** Counts the complete events of a stream that is relayed as it arrives. */
class EventCounter
{
public:
    void add(std::string_view bytes);
    uint64_t count() const { return m_count; }
    /** Whether the bytes so far end inside an event. */
    bool partial() const { return m_partial; }

private:
    /** What the bytes so far end with. */
    enum class Ending { Other, LineFeed, LineFeedCarriageReturn };

    Ending m_ending = Ending::Other;
    bool m_partial = false;
    uint64_t m_count = 0;
};

} // namespace jujube::serving
