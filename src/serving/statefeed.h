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
    StoreVersion storeVersion; ///< Last one it announced.
    bool watches = false;      ///< It watches the store, and the store responds.
};

/** Whether a gateway watches the store for others: the hub does, and a few of the best equipped.
 *
 * Among equals a hash decides, so that they are spread over the failure domains, whose names go by
 * order.
 */
bool watchesForOthers(const std::string &name, const std::string &hub,
                      const std::vector<HubCandidate> &candidates);

/** The peer to ask for changes beyond a version; nothing if none can tell any.
 *
 * Peers with newer versions come first, and of these the ones that watch: they are the best
 * equipped. \param turn which of several equal ones, counted on with each call.
 */
std::optional<size_t> chooseFeeder(const std::vector<FeedPeer> &peers,
                                   const StoreVersion &newerThan, size_t turn);

/** Where the turns of a gateway begin: all learn of a change at once, and would ask one peer. */
size_t firstTurn(std::string_view name);

/** Fetches the changes of the store's state from peers.
 *
 * Peers are an optimization only: a gateway without feeders watches the store itself.
 */
class StateFeed
{
public:
    /** \param name of this gateway. */
    StateFeed(http::Client &caller, std::string_view name,
              std::function<void(const StorePage &)> onState);

    /** Requests the changes since a version from one peer, at a limited rate. */
    void fetch(const std::vector<FeedPeer> &peers, const StoreVersion &newerThan,
               core::TimePoint now);
    /** Whether a periodic request is due, independent of announced revisions. */
    bool refreshDue(core::TimePoint now) const;
    /** Whether there are two feeders and one has responded recently. */
    bool fed(const std::vector<FeedPeer> &peers, core::TimePoint now) const;

    static constexpr const char *Path = "/state";
    /** The request for changes beyond a version. */
    static http::Request request(const StoreVersion &newerThan);
    /** The version in a request's target; nothing if it is another request. */
    static std::optional<StoreVersion> askedVersion(std::string_view target);

private:
    http::Client &m_caller;
    std::function<void(const StorePage &)> m_onState;
    core::TimePoint m_askedAt{};
    core::TimePoint m_fedAt{};
    size_t m_turn; ///< Peers are asked in turn, so that one that fails is left after a call.
};

} // namespace jujube::serving
