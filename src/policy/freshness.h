#pragma once

/** \file
 * Defines the rule by which an entry decides whether it may still act on its configuration.
 */

#include "core/work.h"

#include <string>
#include <vector>

namespace jujube::policy {

/** State of another entry of the last known membership, as observed by this one. */
struct PeerView
{
    std::string name;
    core::TimePoint lastReceivedAt{}; ///< When its last answer was received.
    /** Whether its host refused the connection, so that no process is listening. */
    bool refused = false;
};

struct FreshnessSettings
{
    /** Age up to which a freshness token suffices by itself. A relayed token is up to 3.5 s old: a
     * watch of 1 s, a heartbeat to the agent of 1.5 s and one from the agent of 0.5 s. */
    core::Milliseconds maxAge{4'000};
    /** Time after its last answer for which a peer counts as reachable. */
    core::Milliseconds peerTimeout{2'500};
};

/** Freshness of the configuration that an entry holds. */
enum class Freshness {
    /** Confirmed as the newest within the last few seconds. */
    Confirmed,
    /** The KV is unreachable for all entries, so no change can have been accepted: continue. */
    Outage,
    /** A change may have been accepted that cannot reach this entry: refuse requests. */
    CutOff,
};

/** Distinguishes an outage of the platform's KV from a partition that cuts off this entry alone.
 *
 * Changes are accepted only through an entry that reaches the KV. If every other entry is reachable
 * and none has a newer freshness token, no entry has reached the KV and no change can have been
 * accepted. A peer whose host refuses connections runs no process and cannot accept a change. A
 * peer that does not answer may be on the side of the partition that reaches the KV, so this entry
 * must refuse.
 *
 * \param newest the newest freshness token from the KV, the peers and the agents.
 */
Freshness judgeFreshness(const core::FreshnessToken &newest, const std::vector<PeerView> &peers,
                         core::TimePoint now, const FreshnessSettings &settings);

} // namespace jujube::policy
