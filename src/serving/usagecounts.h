#pragma once

/** \file
 * Defines the counts of requests by usage window and team that every gateway keeps.
 */

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace jujube::serving {

/** Number of requests by team. */
using TeamCounts = std::map<std::string, uint64_t>;

/** Past usage windows, besides the current one, whose counts gateways exchange. */
inline constexpr uint64_t PastWindowsSent = 2;

/** Counts of requests that began to run: this gateway's own, and the latest ones received from
 * every other incarnation of a gateway.
 *
 * The counts of an incarnation only grow, so the larger one is the newer. Those of an incarnation
 * that has ended are kept until their window has been reported.
 */
class UsageCounts
{
public:
    explicit UsageCounts(core::Milliseconds window) : m_window(window) { }

    /** Number of the window that contains a time of day. */
    uint64_t windowAt(core::Milliseconds wallTime) const;
    core::Milliseconds windowEnd(uint64_t window) const;
    /** Counts a request of this gateway that began to run. */
    void countRequest(const std::string &team, core::Milliseconds wallTime);
    /** Merges counts that were received from another incarnation. */
    void merge(uint64_t incarnation, uint64_t window, const TeamCounts &counts);
    /** Sum over all known incarnations. */
    TeamCounts total(uint64_t window) const;
    void eraseBefore(uint64_t window);

    const std::map<uint64_t, TeamCounts> &ownCounts() const { return m_ownCounts; }
    const std::map<uint64_t, std::map<uint64_t, TeamCounts>> &peerCounts() const
    {
        return m_peerCounts;
    }
    /** Counts of one other incarnation in one window; empty if none are known. */
    TeamCounts peerCounts(uint64_t window, uint64_t incarnation) const;

private:
    core::Milliseconds m_window;
    std::map<uint64_t, TeamCounts> m_ownCounts;                      ///< By window.
    std::map<uint64_t, std::map<uint64_t, TeamCounts>> m_peerCounts; ///< By window and incarnation.
};

} // namespace jujube::serving
