#pragma once

/** \file
 * Defines what a gateway may conclude about its leadership from what it knows, without I/O.
 */

#include "core/clock.h"
#include "serving/storetypes.h"

#include <optional>

namespace jujube::serving {

/** The fencing token of a holder whose key was written at a version.
 *
 * Grows with each holder, also across a restore of the store: the era goes before the revision.
 * Nothing if the token would not fit the 53 bits that a JSON number carries.
 */
std::optional<uint64_t> fencingTokenOf(const StoreVersion &key);

/** One gateway's time as the leader.
 *
 * A restored store may have forgotten the key of a holder that has not heard of it yet. That one
 * acts for a lease time after its last renewal at most, so whoever learns of a new era lets a lease
 * time pass before it acts.
 */
class LeaderTerm
{
public:
    explicit LeaderTerm(core::Milliseconds leaseTime) : m_leaseTime(leaseTime) { }

    /** The key was written at a version, under a lease that was asked for at a time.
     * \return false if no fencing token can be made of the version. */
    bool acquire(const StoreVersion &key, core::TimePoint requestedAt);
    void renew(core::TimePoint requestedAt) { m_validUntil = requestedAt + m_leaseTime; }
    /** The lease has ended in the store. */
    void expire() { m_validUntil = {}; }
    /** Ends the term; the next one acts a lease time later at the soonest. */
    void endTerm(core::TimePoint now);
    /** The store has begun an era. Ends the term. */
    void startEra(core::TimePoint now) { endTerm(now); }

    bool holds() const { return m_key.revision != 0; }
    bool valid(core::TimePoint now) const { return now < m_validUntil; }
    /** Whether it may act for the deployment. */
    bool mayAct(core::TimePoint now) const { return holds() && valid(now) && now >= m_mayActFrom; }
    /** Whether the key, as a mirror of the store shows it (no revision: absent), is another one. */
    bool contradictedBy(const StoreVersion &key, const StoreVersion &store) const
    {
        return holds() && store >= m_key && key != m_key;
    }
    /** 0 without a term. */
    uint64_t fencingToken() const { return m_token; }

private:
    core::Milliseconds m_leaseTime;
    core::TimePoint m_validUntil{};
    core::TimePoint m_mayActFrom{};
    StoreVersion m_key;
    uint64_t m_token = 0;
};

} // namespace jujube::serving
