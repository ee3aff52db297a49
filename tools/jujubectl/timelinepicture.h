#pragma once

/** \file
 * Defines the picture of a time line: an HTML page with one lane for each process.
 */

#include <string>
#include <vector>

namespace jujube::tools {

/** One event line, split into what the picture needs. */
struct TimelineEvent
{
    uint64_t hybridTime = 0;
    std::string process;
    std::string name;
    std::string line;

    /** Reads a key=value event line. */
    static TimelineEvent parse(const std::string &line);
};

/** An HTML page with an SVG of all events. */
std::string drawTimeline(const std::vector<TimelineEvent> &events);

} // namespace jujube::tools
