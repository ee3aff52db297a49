#pragma once

/** \file
 * Defines a local mirror of a part of the platform's store.
 */

#include "serving/storeclient.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace jujube::serving {

/** Keeps a copy of the items under one key prefix.
 *
 * Lists the items first and then watches from the revision of the listing; peers supply newer
 * states meanwhile. An item is replaced by a newer version only, and an item that was removed does
 * not return, whatever the order in which listings, events and states arrive. In a new era of the
 * store the mirror lists all items again; items that are missing there are kept for a grace time in
 * which their owners can write them again.
 */
class StoreMirror : public std::enable_shared_from_this<StoreMirror>
{
public:
    struct Handler
    {
        /** Called for each item that was written, or removed (deleted is set). */
        std::function<void(const StoreItem &)> onItem;
        std::function<void()> onComplete; ///< Called after each full listing.
    };

    static std::shared_ptr<StoreMirror> create(boost::asio::io_context &io, StoreClient &client,
                                               std::string prefix, Handler handler);

    /** Starts the first listing. */
    void start();
    /** Sets how long a watch call waits for changes; longer if many gateways watch and exchange
     * changes. */
    void setWatchWait(core::Milliseconds wait) { m_watchWait = wait; }
    /** Sets the minimum interval between two watch calls, as each change ends the call of every
     * gateway. */
    void setMinWatchInterval(core::Milliseconds interval) { m_minWatchInterval = interval; }
    core::Milliseconds minWatchInterval() const { return m_minWatchInterval; }
    /** Abandons the current watch call and lists all items, as a peer has a newer version. */
    void relist();
    /** Applies a full copy or a delta from a peer. Ignores an older one, and a delta with a gap. */
    void applyPeerState(const StorePage &state);
    /** Returns the changes since a version; a full copy if not all removals since it are known. */
    StorePage changesAfter(const StoreVersion &version) const;
    /** Sets whether peers supply the changes: suspends or resumes watching. */
    void setFollowing(bool following);
    bool watching() const { return m_watching; }
    /** Whether all items of the current era have been received. */
    bool complete() const { return m_complete; }
    const StoreVersion &version() const { return m_version; }
    /** Whether the last call to the store succeeded. */
    bool reachable() const { return m_reachable; }
    const std::map<std::string, StoreItem> &items() const { return m_items; }

private:
    StoreMirror(boost::asio::io_context &io, StoreClient &client, std::string prefix,
                Handler handler);

    void startEra(uint64_t era);
    void list(const std::string &afterKey);
    void onPage(const StorePage &page);
    void watch();
    void watchNow(uint64_t callId);
    void onFailure(const absl::Status &status);
    void onSuccess();
    /** Applies what one source states. \param asOf version of the store at which the source had all
     * items of \a page; nothing if the items are events, which state their own time. */
    void applyAll(const StorePage &page, std::optional<StoreVersion> asOf, std::string_view source);
    /** \return false if the item is outdated, as it was removed since. */
    bool apply(const StoreItem &item, const StoreVersion &asOf);
    bool removedSince(const StoreItem &item, const StoreVersion &asOf) const;
    void removeMissing(const std::set<std::string> &present, const StoreVersion &version);
    void applyPostponedRemovals();
    void remove(const std::string &key, const StoreVersion &version);
    void recordRemoval(const std::string &key, const StoreVersion &version);

    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_removalTimer;
    StoreClient &m_client;
    std::string m_prefix;
    Handler m_handler;
    std::map<std::string, StoreItem> m_items;
    std::set<std::string> m_listedKeys; ///< Keys of the listing in progress.
    std::map<std::string, StoreVersion> m_postponedRemovals;
    core::Milliseconds m_watchWait{2'500}; ///< Bounds how long a silent connection hides changes.
    core::Milliseconds m_minWatchInterval{50};
    core::TimePoint m_lastWatchAt{};
    StoreVersion m_version;
    StoreVersion m_listVersion;
    uint64_t m_callId = 0; ///< Number of the latest call; answers to earlier ones are ignored.
    core::TimePoint m_failingSince{};
    core::TimePoint m_outageEndedAt{};
    bool m_reachable = false;
    bool m_complete = false;
    bool m_watching = false;
    bool m_following = false;
    bool m_watchSuspended = false; ///< Watching is suspended, as peers supply the changes.
    struct Removal
    {
        std::string key;
        StoreVersion version;
        core::TimePoint removedAt{};
    };
    std::deque<Removal> m_recentRemovals;            ///< Recent removals for deltas, oldest first.
    std::map<std::string, StoreVersion> m_removedAt; ///< The latest of them by key.
    StoreVersion m_removalsCompleteSince;            ///< Removals after this version are all known.
};

} // namespace jujube::serving
