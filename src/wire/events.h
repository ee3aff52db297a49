#pragma once

/** \file
 * Defines the conversion of logged events to and from RPC messages, for the timeline that merges
 * the events of all processes.
 */

#include "core/eventlog.h"
#include "wire/generated/jujube.capnp.h"

namespace jujube::wire {

/** Fills the results of an events() call with the events of this process after a hybrid time. */
template <typename Results> void writeEvents(uint64_t after, Results results)
{
    const auto recorded = core::eventsAfter(after);
    auto list = results.initEvents(static_cast<uint>(recorded.size()));
    for (uint i = 0; i < list.size(); ++i) {
        list[i].setHybridTime(recorded[i].hybridTime);
        list[i].setLine(recorded[i].line.c_str());
    }
}

/** Reads the events from the reply to an events() call. */
template <typename Reader> std::vector<core::LoggedEvent> readEvents(Reader reader)
{
    std::vector<core::LoggedEvent> result;
    for (const auto it : reader.getEvents())
        result.push_back({it.getHybridTime(), it.getLine().cStr()});
    return result;
}

} // namespace jujube::wire
