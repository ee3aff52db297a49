#pragma once

/** \file
 * Defines the client of the platform's store and the mirror that watches a part of it.
 */

#include "http/caller.h"
#include "serving/storetypes.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace jujube::serving {

/** Calls to the store. Each callback gets one result; Unknown or DeadlineExceeded: the change may
 * have been made, or may be made later. */
class StoreClient
{
public:
    template <typename T> using Callback = std::function<void(absl::StatusOr<T>)>;

    StoreClient(http::Caller &caller, std::string address);

    void get(const std::string &key, Callback<StoreItem> done);
    void list(const std::string &prefix, const std::string &afterKey, Callback<StorePage> done);
    void watch(const std::string &prefix, uint64_t afterRevision, core::Milliseconds wait,
               Callback<StorePage> done);
    void commit(const StoreCommit &commit, Callback<uint64_t> done);
    void grantLease(core::Milliseconds lifetime, Callback<uint64_t> done);
    void renewLease(uint64_t lease, std::function<void(absl::Status)> done);

private:
    http::Caller &m_caller;
    std::string m_address;
};

/** Keeps a copy of the items under one prefix.
 *
 * Starts with a listing and follows by watching from the listing's revision. Items change by
 * revision only, so a late or repeated event never takes one back.
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
    void setWatchPace(core::Milliseconds pace) { m_watchPace = pace; }
    core::Milliseconds watchPace() const { return m_watchPace; }
    /** Ends the wait of the present watch early: a neighbour knows something newer. */
    void hurry();
    /** Takes over a neighbour's copy, as if the store had listed it, or the changes it tells. */
    void absorb(const StorePage &state);
    /** What changed after a revision; everything if that is not known any more. */
    StorePage changesAfter(uint64_t revision) const;
    /** Leaves watching to neighbours, whose changes are absorbed, or takes it up again. */
    void setFollowing(bool following);
    bool watching() const { return m_watching; }
    bool complete() const { return m_complete; }
    uint64_t revision() const { return m_revision; }
    /** Whether the last call was answered. */
    bool reachable() const { return m_reachable; }
    const std::map<std::string, StoreItem> &items() const { return m_items; }

private:
    StoreMirror(boost::asio::io_context &io, StoreClient &client, std::string prefix,
                Handler handler);

    void list(const std::string &afterKey);
    void listed(const StorePage &page);
    void watch();
    void watchNow(uint64_t round);
    void failed(const absl::Status &status);
    void answered();
    void apply(const StoreItem &item);
    void removeMissing(const std::set<std::string> &present, uint64_t revision);
    void removeAfterOutage();
    void remove(const std::string &key, uint64_t revision);
    void noteRemoval(const std::string &key, uint64_t revision);

    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_removal;
    StoreClient &m_client;
    std::string m_prefix;
    Handler m_handler;
    std::map<std::string, StoreItem> m_items;
    std::set<std::string> m_seen;              ///< Keys of the listing under way.
    std::map<std::string, uint64_t> m_pending; ///< Removals held back after an outage.
    core::Milliseconds m_watchWait{2'500}; ///< Bounds how long a silent connection hides changes.
    core::Milliseconds m_watchPace{50};
    core::TimePoint m_watchedAt{};
    uint64_t m_revision = 0;
    uint64_t m_listRevision = 0;
    uint64_t m_round = 0; ///< Counts calls, so that the answer of an abandoned one is told apart.
    core::TimePoint m_failingSince{};
    core::TimePoint m_outageEnd{};
    bool m_reachable = false;
    bool m_complete = false;
    bool m_watching = false;
    bool m_following = false;
    bool m_parked = false; ///< Does not watch, as it follows.
    struct Removal
    {
        std::string key;
        uint64_t revision = 0;
        core::TimePoint at{};
    };
    std::deque<Removal> m_removals; ///< The last ones, for neighbours that follow.
    uint64_t m_removalsFrom = 0;    ///< Removals up to this revision may be missing there.
};

} // namespace jujube::serving
