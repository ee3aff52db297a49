#pragma once

/** \file
 * Defines when a gateway fetches a newer store state that its peers have.
 */

#include "core/clock.h"

namespace jujube::serving {

/** Decides how a gateway that is behind its peers catches up.
 *
 * A gateway whose watch works receives most changes shortly after its peers, so it waits before it
 * requests them. A gateway that is fed by peers or cannot reach the store requests them from a peer
 * at once, as requests may go to a draining endpoint only for a bounded time.
 */
class CatchUp
{
public:
    /** The synchronization state of a gateway. */
    struct Position
    {
        bool behind = false;     ///< A peer has a newer store state.
        bool fedByPeers = false; ///< Peers supply the changes; this gateway does not watch.
        bool reachable = false;  ///< The store answered the last call.
        core::Milliseconds minWatchInterval{};
    };

    struct Action
    {
        bool fetch = false; ///< Request the changes from a peer.
        bool list = false;  ///< List the store again: the watch has missed changes.
    };

    /** Returns the actions that are due; to be called several times per second. */
    Action decide(const Position &position, core::TimePoint now);

private:
    core::TimePoint m_behindSince{};
    core::TimePoint m_behindOrListedSince{}; ///< When it fell behind or was listed last.
};

} // namespace jujube::serving
