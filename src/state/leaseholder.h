#pragma once

/** \file
 * Defines a lease on one key of the KV and the time until which its holder may rely on it.
 */

#include "state/kvclient.h"

namespace jujube::state {

/** Holds one key under a KV lease.
 *
 * The lease time is counted on the boot clock from before the grant or renewal is sent. It
 * therefore ends before the lease expires at the service, even if the process was paused.
 */
class LeaseHolder
{
public:
    /**
     * \param key key that the holder owns while the lease lasts.
     * \param holder value stored under the key; must be unique to this run of the process.
     */
    LeaseHolder(wire::IoContext &io, KvClient &kv, std::string key, std::string holder,
                core::Milliseconds ttl);

    /** Tries once to acquire the key. \return whether it is now held. */
    wire::Task<bool> tryAcquire();
    /** Renews the lease once. \return whether it is still held. */
    wire::Task<bool> renew();
    /** Revokes the lease, so that another holder can acquire the key at once. */
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
