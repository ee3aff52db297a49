#pragma once

/** \file
 * Defines the mirror that watches a part of the platform's store.
 */

#include "serving/storeclient.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace jujube::serving {

/** Keeps a copy of the items under one prefix.
 *
 * Starts with a listing and follows by watching from the listing's revision. Items change by
 * version only, so a late or repeated event never takes one back. A new era of the store is listed
 * afresh; what is missing there is kept for the time in which its owners write it again.
 */
class StoreMirror : public std::enable_shared_from_this<StoreMirror>
{
public:
    struct Handler
    {
        std::function<void(const StoreItem &)> onItem; ///< Written, or removed (deleted is set).
        std::function<void()> onComplete;              ///< After each full listing.
    };

    static std::shared_ptr<StoreMirror> create(boost::asio::io_context &io, StoreClient &client,
                                               std::string prefix, Handler handler);

    void start();
    /** Sets how long a watch waits: longer where many watch and tell each other what changed. */
    void setWatchWait(core::Milliseconds wait) { m_watchWait = wait; }
    /** Sets the least time between two watches: each change costs a call of every gateway. */
    void setMinWatchInterval(core::Milliseconds pace) { m_minWatchInterval = pace; }
    core::Milliseconds minWatchInterval() const { return m_minWatchInterval; }
    /** Ends the wait of the present watch early: a neighbour knows something newer. */
    void relist();
    /** Applies a full copy or a delta from a neighbour. */
    void applyPeerState(const StorePage &state);
    /** Changes since a version; a full copy if the removals since then are not known. */
    StorePage changesAfter(const StoreVersion &version) const;
    /** Stops watching, as neighbours supply the changes, or resumes. */
    void setFollowing(bool following);
    bool watching() const { return m_watching; }
    /** Whether the state of the present era is known whole. */
    bool complete() const { return m_complete; }
    const StoreVersion &version() const { return m_version; }
    /** Whether the last call was answered. */
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
    void apply(const StoreItem &item);
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
    std::set<std::string> m_listedKeys; ///< Keys of the listing under way.
    std::map<std::string, StoreVersion>
        m_postponedRemovals;               ///< Removals held back after an outage.
    core::Milliseconds m_watchWait{2'500}; ///< Bounds how long a silent connection hides changes.
    core::Milliseconds m_minWatchInterval{50};
    core::TimePoint m_lastWatchAt{};
    StoreVersion m_version;
    StoreVersion m_listVersion;
    uint64_t m_callId = 0; ///< Counts calls, so that the answer of an abandoned one is told apart.
    core::TimePoint m_failingSince{};
    core::TimePoint m_outageEndedAt{};
    bool m_reachable = false;
    bool m_complete = false;
    bool m_watching = false;
    bool m_following = false;
    bool m_watchSuspended = false; ///< Watching is suspended.
    struct Removal
    {
        std::string key;
        StoreVersion version;
        core::TimePoint removedAt{};
    };
    std::deque<Removal> m_recentRemovals; ///< Recent ones, for deltas.
    StoreVersion m_removalsCompleteSince; ///< Removals since this version are complete.
};

} // namespace jujube::serving
