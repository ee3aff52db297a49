#pragma once

/** \file
 * Defines the gossip about prefix blocks that a gateway has sent to endpoints.
 */

#include "serving/gossip.h"

#include <deque>

namespace jujube::serving {

/** Collects prefix blocks that an endpoint was sent for the first time, so that the other gateways
 * learn what its cache holds. */
class PrefixBlockGossip
{
public:
    /** Records a prompt that was sent to an endpoint. Its last block belongs to one request alone
     * and is not published. */
    void recordSent(Endpoint &endpoint, const std::vector<policy::PrefixLink> &chain,
                    core::TimePoint now);
    /** Blocks for a gossip message that is sent now, the newest first. */
    std::vector<GossipPrefixBlock> blocksToSend(core::TimePoint now);

private:
    struct Item
    {
        GossipPrefixBlock block;
        core::TimePoint sendUntil{};
    };
    std::deque<Item> m_items; ///< Oldest first.
};

} // namespace jujube::serving
