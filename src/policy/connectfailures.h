#pragma once

/** \file
 * Defines what follows from failed attempts to connect to an endpoint: how long it gets no work.
 */

#include "core/clock.h"

#include <cstddef>
#include <cstdint>

namespace jujube::policy {

/** Failed attempts to connect to one endpoint, as seen by this gateway.
 *
 * The idle endpoint of a process that has ended looks like the best choice: it has no load, and it
 * refuses each connection within a millisecond. Without a pause it attracts every prompt that
 * waits.
 */
class ConnectFailures
{
public:
    /** Records a failed attempt. Those that end during a pause belong to the same fault.
     * \return the time for which the endpoint should get no work. */
    core::Milliseconds note(core::TimePoint now);
    /** Records that the endpoint has answered. */
    void reset();
    /** Whether an attempt has failed since the last answer. */
    bool failing() const { return m_pauses > 0; }

private:
    uint32_t m_pauses = 0; ///< Without an answer in between.
    core::TimePoint m_pausedUntil{};
};

/** Whether an endpoint may be paused because of failed connections, given how many of its service's
 * endpoints of the same stage are paused already. If half of them cannot be reached, the fault may
 * be that of this gateway. */
bool mayPauseUnreachable(size_t paused, size_t present);

/** Limit for the time to connect on behalf of a request.
 * \param latencyObjective of its route; zero or less: none. */
core::Milliseconds connectTimeout(core::Milliseconds latencyObjective);

} // namespace jujube::policy
