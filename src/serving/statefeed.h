#pragma once

/** \file
 * Defines how the gateways of a large deployment learn the store's state from the few that watch
 * it.
 */

#include "http/caller.h"
#include "serving/loadexchange.h"
#include "serving/storetypes.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujube::serving {

/** A live peer as a source of the store's state. */
struct FeedPeer
{
    std::string name;
    std::string address;
    uint64_t storeRevision = 0; ///< That it has told of.
    bool watches = false;       ///< It watches the store, which answers it.
};

/** Whether a gateway watches the store for others: the hub does, and a few of the best equipped.
 *
 * Among equals a hash decides, so that they are spread over the failure domains, whose names go by
 * order.
 */
bool watchesForOthers(const std::string &name, const std::string &hub,
                      const std::vector<HubCandidate> &candidates);

/** Fetches the changes of the store's state from peers.
 *
 * No peer is needed for correctness: a gateway that is not fed watches the store itself.
 */
class StateFeed
{
public:
    StateFeed(http::Caller &caller, std::function<void(const StorePage &)> onState);

    /** Asks a peer for what it knows beyond a revision, unless that was asked for just now. */
    void fetch(const std::vector<FeedPeer> &peers, uint64_t newerThan, core::TimePoint now);
    /** Whether a follower should ask, though no peer has told of anything new. */
    bool refreshDue(core::TimePoint now) const;
    /** Whether peers have answered lately, and more than one can. */
    bool fed(const std::vector<FeedPeer> &peers, core::TimePoint now) const;

    static constexpr const char *Path = "/state";
    /** The request for changes beyond a revision. */
    static http::Request request(uint64_t newerThan);
    /** The revision in a request's target; nothing if it is another request. */
    static std::optional<uint64_t> askedRevision(std::string_view target);

private:
    const FeedPeer *choose(const std::vector<FeedPeer> &peers, uint64_t newerThan);

    http::Caller &m_caller;
    std::function<void(const StorePage &)> m_onState;
    core::TimePoint m_askedAt{};
    core::TimePoint m_fedAt{};
    size_t m_turn = 0; ///< Peers are asked in turn, so that one that fails is left after a call.
};

} // namespace jujube::serving
