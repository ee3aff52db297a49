#pragma once

/** \file
 * Defines the memory of usage figures that were fixed in the store, across restores of the store.
 */

#include "serving/usagecounts.h"

#include <optional>

namespace jujube::serving {

/** Sealed figures by window, and from when on a gateway may seal windows itself.
 *
 * A restored store may have forgotten a seal whose figures were reported already. So figures that
 * were seen once stand, and a window that another gateway may have sealed in an earlier era is not
 * summed up again.
 */
class UsageSeals
{
public:
    /** Notes sealed figures. \return false if others are known, which stand. */
    bool addSeal(uint64_t window, const TeamCounts &counts);
    const TeamCounts *find(uint64_t window) const;
    void eraseBefore(uint64_t window);

    /** The store has begun an era, as heard at a time of day.
     * \param ledSince when this gateway began to lead, if it led until then: it knows its seals. */
    void startEra(core::Milliseconds observedAt, std::optional<core::Milliseconds> leaderSince);
    /** The present era is known to have begun before a time of day. */
    void limitEraStart(core::Milliseconds time);
    /** Whether no seal of an earlier era can be missing for a window that was due at a time of day.
     */
    bool maySeal(core::Milliseconds dueAt) const { return dueAt >= m_maySealFrom; }

private:
    std::map<uint64_t, TeamCounts> m_byWindow;
    core::Milliseconds
        m_maySealFrom{}; ///< Windows due from then on were sealed in this era, if ever.
};

} // namespace jujube::serving
