#pragma once

/** \file
 * Defines a lease on one key of the KV and the time until which its holder may act.
 */

#include "state/kvclient.h"

namespace jujube::state {

/** Holds one key under a KV lease.
 *
 * The time of validity is counted from before the grant or renewal was sent, on the boot clock, so
 * it always ends before the lease lapses at the service, also when the process was paused.
 */
class LeaseHolder
{
public:
    /**
     * \param key the key that the holder owns while the lease lasts.
     * \param holder text stored under the key; must be unique to this run of the process.
     */
    LeaseHolder(wire::IoContext &io, KvClient &kv, std::string key, std::string holder,
                core::Milliseconds ttl);

    /** Tries once to take the key. \return whether it is held now. */
    wire::Task<bool> tryAcquire();
    /** Renews the lease once. \return whether it is still held. */
    wire::Task<bool> renew();
    /** Gives the lease up. */
    wire::Task<void> release();

    bool held() const { return core::BootClock::now() < m_validUntil; }
    core::TimePoint validUntil() const { return m_validUntil; }
    core::Milliseconds ttl() const { return m_ttl; }

private:
    wire::IoContext &m_io;
    KvClient &m_kv;
    std::string m_key;
    std::string m_holder;
    core::Milliseconds m_ttl;
    std::string m_lease;
    core::TimePoint m_validUntil{};
};

} // namespace jujube::state
