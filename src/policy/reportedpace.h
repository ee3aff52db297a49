#pragma once

/** \file
 * Defines the pace that an endpoint reports, by its age.
 */

#include "core/clock.h"

#include <cstdint>

namespace jujube::policy {

/** A report of an endpoint's load is used and shared up to this age. */
inline constexpr core::Milliseconds LoadReportLifetime{400};

/** Factor on the time that work takes at an endpoint, from the paces that it reports.
 *
 * A fresh report holds in full. With its age, its weight falls linearly to 0, and the usual pace of
 * the endpoint replaces it. The usual pace is learned from the reports and is 1 without any.
 */
class ReportedPace
{
public:
    /** Records a report; one that is not newer than the last is ignored.
     * \param percent time that work takes there in percent of the usual time; 0: ignored. */
    void note(uint32_t percent, core::TimePoint at);
    double factor(core::TimePoint now) const;
    double usual(core::TimePoint now) const;

private:
    double m_last = 1;
    double m_usual = 1;
    core::TimePoint m_at{}; ///< Of the last report.
};

} // namespace jujube::policy
