#pragma once

/** \file
 * Defines how the gateways of a large deployment receive the store's state from the few that watch
 * it.
 */

#include "http/client.h"
#include "serving/loadexchange.h"
#include "serving/storetypes.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujube::serving {

/** A live peer as a source of store state. */
struct FeedPeer
{
    std::string name;
    std::string address;
    StoreVersion storeVersion; ///< The last version that it announced.
    bool watchesStore = false; ///< It watches the store, and the store responds.
};

/** Whether a gateway watches the store for others: the hub and the few with the most processor
 * share do (isBestEquipped). */
bool watchesForOthers(const std::string &name, const std::string &hub,
                      const std::vector<HubCandidate> &candidates);

/** Returns the index of the peer to request changes since a version from; nothing if there is none.
 *
 * Prefers peers that watch the store and have a newer version, as they have the most processor
 * share; then any peer with a newer version; then any that watches.
 * \param turn selects among equal peers; incremented with each call.
 */
std::optional<size_t> chooseFeeder(const std::vector<FeedPeer> &peers,
                                   const StoreVersion &newerThan, size_t turn);

/** Returns the first turn of a gateway. It depends on the name, as otherwise all gateways would
 * request a change from the same peer at the same time. */
size_t initialTurn(std::string_view name);

/** Fetches the changes of the store's state from peers.
 *
 * Peers are an optimization only: a gateway without feeders watches the store itself.
 */
class StateFeed
{
public:
    /** \param name of this gateway. */
    StateFeed(http::Client &httpClient, std::string_view name,
              std::function<void(const StorePage &)> onState);

    /** Requests the changes since a version from one peer, at a limited rate and not beside a
     * transfer that makes progress. */
    void fetch(const std::vector<FeedPeer> &peers, const StoreVersion &newerThan,
               core::TimePoint now);
    /** Whether a periodic request is due, independent of announced revisions. */
    bool refreshDue(core::TimePoint now) const;
    /** Whether there are at least two feeders and one has responded recently. */
    bool isFed(const std::vector<FeedPeer> &peers, core::TimePoint now) const;

private:
    void handleResponse(const std::string &peer, core::TimePoint requestedAt,
                        const http::CallResult &result);

    http::Client &m_httpClient;
    std::function<void(const StorePage &)> m_onState;
    core::TimePoint m_requestedAt{};
    core::TimePoint m_receivedAt{}; ///< Time of the last bytes of a response.
    core::TimePoint m_lastStateAt{};
    size_t m_inProgress = 0; ///< Requests whose response is pending.
    size_t m_turn; ///< Rotates over the peers, so that a failing one is used for one call only.
};

} // namespace jujube::serving
