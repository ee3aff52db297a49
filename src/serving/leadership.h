#pragma once

/** \file
 * Defines the lease under which one gateway at a time acts for the whole deployment.
 */

#include "serving/leaderterm.h"
#include "serving/storeclient.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>
#include <random>
#include <string>

namespace jujube::serving {

/** Holds the leader's key in the store under a lease.
 *
 * The time of validity counts from before a grant or renewal was sent, on a clock that goes on
 * while the VM is suspended, so it ends before the lease lapses. The lease is never given back
 * early: a VM that stops and returns could otherwise act again within one lease time of its
 * successor. The fencing token is made of the version of the key's creation (fencingTokenOf).
 */
class Leadership
{
public:
    Leadership(boost::asio::io_context &io, StoreClient &store, std::mt19937_64 &random,
               std::string holder, core::Milliseconds leaseTime);

    /** Goes by the key in the mirror (null: none) as of a version of the store: contends for it, or
     * gives up if another one has it. */
    void follow(const StoreItem *key, const StoreVersion &store);
    /** The key is free now, as far as the mirror knows: try to take it after a moment.
     * \param leftover revision of a key that is there, but whose holder gave up in an earlier era.
     */
    void onKeyFree(uint64_t staleRevision = 0);
    /** Somebody holds the key. */
    void onKeyHeld();
    /** Compares the key in the mirror (no revision: none), as of \a store, with the own one.
     * Leadership ends at once if they differ, since leases may lapse early when the store fails. */
    void observe(const StoreVersion &key, const StoreVersion &store);
    /** Sets how many gateways may contend; their attempts are spread accordingly. */
    void setContenders(uint32_t n) { m_contenders = n; }
    /** Stops contending and renewing. */
    void stop();
    bool held() const { return m_term.mayAct(core::BootClock::now()); }
    uint64_t fencingToken() const { return m_term.fencingToken(); }
    /** Since when this gateway led when the present era of the store began; nothing if it did not.
     */
    std::optional<core::TimePoint> leaderSinceBeforeEra() const { return m_leaderSinceBeforeEra; }

    static constexpr const char *Key = "jujube/leader";

private:
    void contend();
    void startEra();
    void acquire(uint64_t lease, core::TimePoint requestedAt);
    void scheduleRenewal();
    void renew();
    void onLost(const std::string &why);

    StoreClient &m_store;
    std::mt19937_64 &m_random;
    boost::asio::steady_timer m_timer;
    std::string m_holder;
    core::Milliseconds m_leaseTime;
    LeaderTerm m_term;
    core::TimePoint m_startedAt{};
    core::TimePoint m_acquiredAt{};
    std::optional<core::TimePoint> m_leaderSinceBeforeEra;
    core::TimePoint m_eraObservedAt{}; ///< When the present era was learnt; not set: none was.
    uint64_t m_lease = 0;
    uint64_t m_staleRevision = 0;
    uint32_t m_contenders = 1;
    bool m_keyHeld = false;
    bool m_contending = false;
    bool m_stopped = false;
};

} // namespace jujube::serving
