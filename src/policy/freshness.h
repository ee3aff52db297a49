#pragma once

/** \file
 * Defines the rule by which an entry decides whether its configuration may still be acted on.
 */

#include "core/work.h"

#include <string>
#include <vector>

namespace jujube::policy {

/** What an entry knows of one other entry of the last known membership. */
struct PeerView
{
    std::string name;
    core::TimePoint lastReceivedAt{}; ///< Last answer received.
    bool refused = false;             ///< Its host refused the connection: no process is listening.
};

struct FreshnessSettings
{
    /** Oldest confirmation that needs no further evidence. A relayed one is up to 3.5 s old: a
     * watch of 1 s, a heartbeat of 1.5 s to the agent and one of 0.5 s from it. */
    core::Milliseconds maxAge{4'000};
    core::Milliseconds peerTimeout{2'500}; ///< A peer counts as heard for this long.
};

/** Verdict on the configuration an entry holds. */
enum class Freshness {
    Confirmed, ///< Known to be the newest within the last few seconds.
    Outage,    ///< The KV answers nobody, so no change can have been accepted: go on.
    CutOff,    ///< A change may have been accepted that this entry cannot hear of: refuse.
};

/** Tells an outage of the platform's KV from a partition that hides it from this entry alone.
 *
 * Changes are accepted only through an entry that reaches the KV. If every other entry is heard,
 * and none of them has a newer confirmation, no entry has reached the KV and nothing can have
 * been accepted. A peer whose host refuses connections runs no process and can accept nothing.
 * If a peer is silent, it may be on the side that reaches the KV, and this entry must refuse.
 *
 * \param newest the newest evidence from the KV, the peers and the agents.
 */
Freshness judgeFreshness(const core::Evidence &newest, const std::vector<PeerView> &peers,
                         core::TimePoint now, const FreshnessSettings &settings);

} // namespace jujube::policy
