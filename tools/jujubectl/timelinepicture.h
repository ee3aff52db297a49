#pragma once

/** \file
 * Defines the rendering of a timeline as an HTML page with one lane for each process.
 */

#include <string>
#include <vector>

namespace jujube::tools {

/** The fields of an event line that the page needs. */
struct TimelineEvent
{
    uint64_t hybridTime = 0;
    std::string process;
    std::string name;
    std::string line; ///< The whole event line.

    /** Parses an event line of key=value fields. */
    static TimelineEvent parse(const std::string &line);
};

/** \return an HTML page with an SVG of all events.
 *
 * \param events in ascending order of hybrid time
 */
std::string renderTimelinePage(const std::vector<TimelineEvent> &events);

} // namespace jujube::tools
