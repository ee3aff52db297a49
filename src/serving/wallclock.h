#pragma once

/** \file
 * Defines the time of day that the gateways of a deployment agree on.
 */

#include "core/clock.h"

#include <map>
#include <string>

namespace jujube::serving {

/** Clock for the time of day that usage windows follow.
 *
 * The system's time of day jumps on some machines and returns later; counts would then fall into
 * the wrong windows. So this clock reads the system's time once, advances by elapsed time, and is
 * corrected only if the median of all gateways' clocks differs or the system's time differs for
 * long.
 */
class WallClock
{
public:
    /** \param system the system's time of day at \a now. */
    WallClock(core::TimePoint now, core::Milliseconds system);

    /** Time of day at a time of the monotonic clock. */
    core::Milliseconds at(core::TimePoint now) const;
    /** Records the time of day of a peer's clock, as just received. */
    void recordPeerTime(const std::string &peer, core::Milliseconds time, core::TimePoint now);
    /** Corrects the clock by the peers' and the system's time. Call several times a second.
     * \return the correction; zero in most calls. */
    core::Milliseconds adjust(core::Milliseconds system, core::TimePoint now);

private:
    struct PeerOffset
    {
        core::Milliseconds offset{}; ///< The peer's clock minus this one.
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
