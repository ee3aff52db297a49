#pragma once

/** \file
 * Defines the leadership of one gateway at a time, by a lease in the store.
 */

#include "serving/leaderterm.h"
#include "serving/storeclient.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>
#include <random>
#include <string>

namespace jujube::serving {

/** Acquires and renews the leader key in the store under a lease.
 *
 * Leadership is valid from the moment at which a grant or renewal was sent, on a clock that also
 * advances while the VM is suspended, so it ends before the lease lapses in the store. The lease is
 * never revoked early: a VM that stops and returns could otherwise act again within one lease time
 * of its successor. The fencing token is derived from the version at which the key was created
 * (fencingTokenOf).
 */
class Leadership
{
public:
    Leadership(boost::asio::io_context &io, StoreClient &store, std::mt19937_64 &random,
               std::string holder, core::Milliseconds leaseTime);

    /** Applies the leader key of the store mirror: contends if it is free, or ends the leadership
     * if another gateway holds it.
     * \param key null if absent. \param store version of the mirror. */
    void follow(const StoreItem *key, const StoreVersion &store);
    /** Tries to acquire the key after a random delay, as it is free in the mirror.
     * \param staleRevision revision of a key that is present but was written in an earlier era,
     * whose holder has given up.
     */
    void onKeyFree(uint64_t staleRevision = 0);
    /** Cancels the pending attempt, as a gateway holds the key. */
    void onKeyHeld();
    /** Compares the key in the mirror (no revision: absent), as of version \a store, with the key
     * that this gateway wrote. Leadership ends at once if they differ, as leases may lapse early
     * when the store fails. */
    void observe(const StoreVersion &key, const StoreVersion &store);
    /** Sets how many gateways may contend; their attempts are spread accordingly. */
    void setContenders(uint32_t n) { m_contenders = n; }
    /** Stops contending for and renewing the lease. */
    void stop();
    /** Whether this gateway is the leader and may act. */
    bool held() const { return m_term.mayAct(core::BootClock::now()); }
    uint64_t fencingToken() const { return m_term.fencingToken(); }
    /** When this gateway became leader, if it was the leader at the start of the current era of the
     * store; otherwise nothing. */
    std::optional<core::TimePoint> leaderSinceBeforeEra() const { return m_leaderSinceBeforeEra; }

    static constexpr const char *Key = "jujube/leader";

private:
    void contend();
    void startEra();
    void acquire(uint64_t lease, core::TimePoint requestedAt);
    void scheduleRenewal();
    void renew();
    void endLeadership(const std::string &why);

    StoreClient &m_store;
    std::mt19937_64 &m_random;
    boost::asio::steady_timer m_timer;
    std::string m_holder;
    core::Milliseconds m_leaseTime;
    LeaderTerm m_term;
    core::TimePoint m_startedAt{};
    core::TimePoint m_acquiredAt{};
    std::optional<core::TimePoint> m_leaderSinceBeforeEra;
    core::TimePoint m_eraObservedAt{}; ///< First observation of the current era; unset: no era.
    uint64_t m_lease = 0;
    uint64_t m_staleRevision = 0;
    uint32_t m_contenders = 1;
    bool m_keyHeld = false;
    bool m_contending = false;
    bool m_stopped = false;
};

} // namespace jujube::serving
