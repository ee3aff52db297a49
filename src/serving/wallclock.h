#pragma once

/** \file
 * Defines the time of day as the gateways of a deployment agree on it.
 */

#include "core/clock.h"

#include <map>
#include <string>

namespace jujube::serving {

/** The time of day that usage windows follow.
 *
 * The system's time of day may jump on some machines and back again; counts would then fall into
 * the wrong windows. So it is read once, goes on by elapsed time, and is set anew only if most of
 * the peers say otherwise or the system keeps to another time for long.
 */
class WallClock
{
public:
    /** \param system the system's time of day at \a now. */
    WallClock(core::TimePoint now, core::Milliseconds system);

    core::Milliseconds at(core::TimePoint now) const;
    /** Notes what a peer took for the time of day a moment ago. */
    void recordPeerTime(const std::string &peer, core::Milliseconds time, core::TimePoint now);
    /** Compares with the peers and the system. Call several times a second.
     * \return how far the clock was set, zero mostly. */
    core::Milliseconds adjust(core::Milliseconds system, core::TimePoint now);

private:
    struct PeerOffset
    {
        core::Milliseconds offset{}; ///< The peer's time less this one's.
        core::TimePoint at{};
    };

    core::Milliseconds medianPeerOffset(core::TimePoint now) const;
    void shiftBy(core::Milliseconds by);

    core::TimePoint m_baseTick;
    core::Milliseconds m_baseTime;
    std::map<std::string, PeerOffset> m_peerOffsets;
    core::TimePoint m_systemDiffersSince{};
};

} // namespace jujube::serving
