#pragma once

/** \file
 * Defines the counts of begun requests by window and team that are kept by every entry.
 */

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace jujube::serving {

using TeamCounts = std::map<std::string, uint64_t>;

/** This entry's own counts and the newest ones heard from every other run of an entry.
 *
 * Figures of a run only grow, so the larger one is the newer. Those of a run that is gone are kept
 * until their window has been reported.
 */
class UsageCounts
{
public:
    explicit UsageCounts(core::Milliseconds window) : m_window(window) { }

    uint64_t windowAt(core::Milliseconds wallTime) const;
    core::Milliseconds windowEnd(uint64_t window) const;
    /** Notes a request of this entry that began to run. */
    void countRequest(const std::string &team, core::Milliseconds wallTime);
    /** Takes over what another run of an entry has counted. */
    void merge(uint64_t incarnation, uint64_t window, const TeamCounts &counts);
    /** Counts of all runs that are known. */
    TeamCounts total(uint64_t window) const;
    void eraseBefore(uint64_t window);

    const std::map<uint64_t, TeamCounts> &ownCounts() const { return m_ownCounts; }
    const std::map<uint64_t, std::map<uint64_t, TeamCounts>> &peerCounts() const
    {
        return m_peerCounts;
    }

private:
    core::Milliseconds m_window;
    std::map<uint64_t, TeamCounts> m_ownCounts;                      ///< By window.
    std::map<uint64_t, std::map<uint64_t, TeamCounts>> m_peerCounts; ///< By window and run.
};

} // namespace jujube::serving
