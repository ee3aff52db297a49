#pragma once

/** \file
 * Defines the rules by which a gateway decides whether it is the leader, without I/O.
 */

#include "core/clock.h"
#include "serving/storetypes.h"

#include <optional>

namespace jujube::serving {

/** Returns the fencing token of a leader whose key was written at a store version.
 *
 * Tokens increase with each leader, also across a restore of the store, as the era precedes the
 * revision. Returns nothing if the token would exceed the 53 bits of a JSON number.
 */
std::optional<uint64_t> fencingTokenOf(const StoreVersion &key);

/** Tracks the term of one gateway as the leader.
 *
 * A restored store may have lost the key of a leader that does not know of the restore yet. That
 * leader acts for at most one lease time after its last renewal, so a gateway that learns of a new
 * era waits for one lease time before it acts.
 */
class LeaderTerm
{
public:
    explicit LeaderTerm(core::Milliseconds leaseTime) : m_leaseTime(leaseTime) { }

    /** Starts a term.
     * \param key version at which the key was written.
     * \param requestedAt when the lease was requested.
     * \return false if the version has no fencing token (fencingTokenOf). */
    bool acquire(const StoreVersion &key, core::TimePoint requestedAt);
    /** Extends the term to one lease time after the renewal was requested. */
    void renew(core::TimePoint requestedAt) { m_validUntil = requestedAt + m_leaseTime; }
    /** Invalidates the term, as the lease has expired in the store. */
    void expire() { m_validUntil = {}; }
    /** Ends the term. The next one may act after one lease time at the earliest. */
    void endTerm(core::TimePoint now);
    /** Ends the term, as the store has started a new era. */
    void startEra(core::TimePoint now) { endTerm(now); }

    bool holds() const { return m_key.revision != 0; }
    bool valid(core::TimePoint now) const { return now < m_validUntil; }
    /** Whether the gateway may act for the deployment. */
    bool mayAct(core::TimePoint now) const { return holds() && valid(now) && now >= m_mayActFrom; }
    /** Whether a mirror of the store shows another key than that of this term.
     * \param key its version; no revision: absent. \param store version of the mirror. */
    bool contradictedBy(const StoreVersion &key, const StoreVersion &store) const
    {
        return holds() && store >= m_key && key != m_key;
    }
    /** The fencing token of the term; 0 without a term. */
    uint64_t fencingToken() const { return m_token; }

private:
    core::Milliseconds m_leaseTime;
    core::TimePoint m_validUntil{};
    core::TimePoint m_mayActFrom{};
    StoreVersion m_key;
    uint64_t m_token = 0;
};

} // namespace jujube::serving
