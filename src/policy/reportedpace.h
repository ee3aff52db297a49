#pragma once

/** \file
 * Defines the pace that an endpoint reports, by its age.
 */

#include "core/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace jujube::policy {

/** A report of an endpoint's load is used and shared up to this age. */
inline constexpr core::Milliseconds LoadReportLifetime{400};

/** Factor on the time that work takes at an endpoint, from the paces that it reports.
 *
 * A fresh report holds in full. With its age, its weight falls linearly to 0, and the usual pace of
 * the endpoint replaces it. The usual pace is a low quantile of the recent reports, as an endpoint
 * has short spells in which it is slower; it is 1 without any report.
 */
class ReportedPace
{
public:
    /** Number of samples from which the usual pace is known. */
    static constexpr size_t KnownSamples = 4;

    /** Records a report; one that is not newer than the last is ignored.
     * \param percent time that work takes there in percent of the usual time; 0: ignored. */
    void note(uint32_t percent, core::TimePoint at);
    double factor(core::TimePoint now) const;
    double usual(core::TimePoint now) const;
    /** Whether there are enough reports to tell the usual pace from a spell. */
    bool known() const { return m_count >= KnownSamples; }
    /** Time of the last report of a pace; not set: none. */
    core::TimePoint reportedAt() const { return m_at; }

private:
    // Under dense reports the samples span five seconds, which is several spells.
    static constexpr size_t MaxSamples = 32;

    void updateUsual();

    std::array<float, MaxSamples> m_samples{}; ///< A ring; the first m_count are valid.
    size_t m_count = 0;
    size_t m_next = 0;
    core::TimePoint m_sampledAt{};
    double m_last = 1;
    double m_usual = 1;
    core::TimePoint m_at{}; ///< Of the last report.
};

} // namespace jujube::policy
