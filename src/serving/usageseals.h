#pragma once

/** \file
 * Defines the usage counts that were sealed in the store, kept across restores of the store.
 */

#include "serving/usagecounts.h"

#include <optional>

namespace jujube::serving {

/** Sealed counts by window, and the time from which on this gateway may seal windows itself.
 *
 * A seal commits the counts of a window to the store before they are first reported. A restore of
 * the store may lose a seal whose counts were reported already. So counts that were observed once
 * are final, and a window that another gateway may have sealed in an earlier era is not summed up
 * again.
 */
class UsageSeals
{
public:
    /** Adds sealed counts. \return false if other counts are known, which are kept. */
    bool addSeal(uint64_t window, const TeamCounts &counts);
    const TeamCounts *find(uint64_t window) const;
    void eraseBefore(uint64_t window);

    /** Records that the store has begun a new era.
     * \param observedAt time of day at which this gateway learnt of it.
     * \param leaderSince when this gateway became leader, if it was leader until then: it knows all
     * seals since. */
    void startEra(core::Milliseconds observedAt, std::optional<core::Milliseconds> leaderSince);
    /** Records that the present era began before a time of day, which may allow earlier windows. */
    void limitEraStart(core::Milliseconds time);
    /** Whether a window that was due at a time of day can have no lost seal of an earlier era. */
    bool maySeal(core::Milliseconds dueAt) const { return dueAt >= m_maySealFrom; }

private:
    std::map<uint64_t, TeamCounts> m_byWindow;
    core::Milliseconds m_maySealFrom{}; ///< Windows due since can be sealed in this era only.
};

} // namespace jujube::serving
