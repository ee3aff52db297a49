#pragma once

/** \file
 * Defines when a gateway whose peers have a newer state of the store fetches it.
 */

#include "core/clock.h"

namespace jujube::serving {

/** Decides how a gateway that is behind its peers catches up.
 *
 * A gateway whose watch works gets most changes a moment after its peers by itself, so it waits
 * before it calls anybody. One that is fed by peers, or that the store does not answer, asks a peer
 * at once: how long it may use an old state is bounded by the time in which drains have to be
 * respected.
 */
class CatchUp
{
public:
    /** What a gateway knows of its own position. */
    struct Position
    {
        bool behind = false;    ///< A peer has a newer state.
        bool follows = false;   ///< Fed by peers; no own watch.
        bool reachable = false; ///< The store answered the last call.
        core::Milliseconds minWatchInterval{};
    };

    struct Action
    {
        bool fetch = false; ///< Ask a peer for the changes.
        bool list = false;  ///< Read the store afresh: the watch has missed something.
    };

    /** Call several times a second. */
    Action decide(const Position &position, core::TimePoint now);

private:
    core::TimePoint m_behindSince{};
    core::TimePoint m_behindOrListedSince{}; ///< Behind, and not read afresh, since then.
};

} // namespace jujube::serving
