#pragma once

/** \file
 * Defines the lease under which one gateway at a time acts for the whole deployment.
 */

#include "serving/storeclient.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <random>
#include <string>

namespace jujube::serving {

/** Holds the leader's key in the store under a lease.
 *
 * The time of validity counts from before a grant or renewal was sent, on a clock that goes on
 * while the VM is suspended, so it ends before the lease lapses. The lease is never given back
 * early: a VM that stops and returns could otherwise act again within one lease time of its
 * successor. The revision of the key's creation is the fencing token: it grows with each holder.
 */
class Leadership
{
public:
    Leadership(boost::asio::io_context &io, StoreClient &store, std::mt19937_64 &random,
               std::string holder, core::Milliseconds leaseTime);

    /** The key is free now, as far as the mirror knows: try to take it after a moment. */
    void keyFree();
    /** Somebody holds the key. */
    void keyTaken();
    /** The mirror of the store shows the key at a revision, or none (0), as of \a storeRevision. A
     * holder whose key is gone or another's gives up, also before its own lease has run out: leases
     * may lapse with the store. */
    void observe(uint64_t keyRevision, uint64_t storeRevision);
    /** Sets how many gateways may contend; their attempts are spread accordingly. */
    void setContenders(uint32_t n) { m_contenders = n; }
    /** Stops contending and renewing. */
    void stop();
    bool held() const
    {
        const core::TimePoint now = core::BootClock::now();
        return m_token != 0 && now < m_validUntil && now >= m_actFrom;
    }
    uint64_t fencingToken() const { return m_token; }

    static constexpr const char *Key = "jujube/leader";

private:
    void contend();
    void take(uint64_t lease, core::TimePoint before);
    void renewLater();
    void renew();
    void lost(const std::string &why);

    StoreClient &m_store;
    std::mt19937_64 &m_random;
    boost::asio::steady_timer m_timer;
    std::string m_holder;
    core::Milliseconds m_leaseTime;
    core::TimePoint m_validUntil{};
    core::TimePoint
        m_actFrom{}; ///< A lease time after it last gave up: others may have acted since.
    core::TimePoint m_startedAt{};
    uint64_t m_lease = 0;
    uint64_t m_token = 0;
    uint32_t m_contenders = 1;
    bool m_taken = false;
    bool m_contending = false;
    bool m_stopped = false;
};

} // namespace jujube::serving
