#pragma once

/** \file
 * Defines a stand-in for the platform's metadata store, with the faults that its pages name.
 */

#include "http/server.h"
#include "serving/storetypes.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <QJsonObject>

#include <deque>
#include <list>
#include <map>
#include <string>

namespace jujube::test {

/** What the store does with calls. */
enum class StoreFault {
    None,
    Silent,       ///< Takes calls and never answers.
    Busy,         ///< Answers 503 and does nothing.
    Reset,        ///< Closes the connection.
    LoseResponses ///< Does what is asked and closes the connection instead of answering.
};

/** The store's protocol over HTTP in this process: items, listings, watches, commits, leases. */
class FakeStore
{
public:
    explicit FakeStore(boost::asio::io_context &io);

    absl::Status listen(const std::string &address);
    void setFault(StoreFault fault);
    /** Leases run out while the store is away, as if their owners had been silent. */
    void expireLeases();
    /** Forgets history: watches from an older revision are told so. */
    void compact();
    /** Comes back from a copy of some age, as of the start at the latest: what was written since is
     * gone, revisions and leases are given out again, and the era rises. */
    void restore(core::Milliseconds age);
    /** Whether answers state the era. */
    void setSendsEra(bool states) { m_sendsEra = states; }
    uint64_t era() const { return m_era; }
    /** Pages of a listing hold this many items. */
    void setPageSize(size_t items) { m_pageSize = items; }

    /** Writes as the operator or a worker would. */
    uint64_t put(const std::string &key, const std::string &value);
    void erase(const std::string &key);
    const std::map<std::string, serving::StoreItem> &items() const { return m_items; }
    uint64_t callCount() const { return m_callCount; }

private:
    struct Watch
    {
        http::Responder responder;
        std::string prefix;
        uint64_t after = 0;
        core::TimePoint until{};
    };

    void handle(const http::Request &request, const http::Responder &responder);
    void respond(const http::Responder &responder, uint32_t status, const QJsonObject &body);
    void get(const http::Responder &responder, const std::string &key);
    void list(const http::Responder &responder, const std::string &prefix,
              const std::string &after);
    void watch(const http::Responder &responder, const std::string &prefix, uint64_t after,
               core::Milliseconds wait);
    void commit(const http::Responder &responder, const QJsonObject &body);
    void grant(const http::Responder &responder, const QJsonObject &body);
    void renew(const http::Responder &responder, uint64_t lease);
    bool answerWatch(const Watch &watch);
    void notifyWatches();
    void saveSnapshot();
    void scheduleTick();

    boost::asio::io_context &m_io;
    http::Server m_server;
    boost::asio::steady_timer m_timer;
    std::map<std::string, serving::StoreItem> m_items;
    std::map<std::string, uint64_t> m_leaseOf; ///< By key.
    struct Lease
    {
        core::Milliseconds lifetime{};
        core::TimePoint until{};
    };
    std::map<uint64_t, Lease> m_leases;
    struct Snapshot
    {
        core::TimePoint at{};
        std::map<std::string, serving::StoreItem> items;
        uint64_t revision = 1;
        std::map<std::string, uint64_t> leaseOf;
        std::map<uint64_t, Lease> leases;
        uint64_t lastLeaseId = 0;
    };
    std::deque<Snapshot> m_snapshots; ///< Oldest first.
    uint64_t m_era = 0;
    bool m_sendsEra = true;
    std::vector<serving::StoreItem> m_history;
    std::list<Watch> m_watches;
    std::vector<http::Responder> m_unansweredResponders;
    StoreFault m_fault = StoreFault::None;
    uint64_t m_revision = 1;
    uint64_t m_compactedRevision = 0; ///< History up to this revision is gone.
    uint64_t m_lastLeaseId = 1000;
    uint64_t m_callCount = 0;
    size_t m_pageSize = 500;
};

} // namespace jujube::test
