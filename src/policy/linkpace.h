#pragma once

/** \file
 * Defines the pace of background messages on a link that requests share.
 */

#include "core/clock.h"

#include <algorithm>

namespace jujube::policy {

/** Limits background messages to a share of a link, as whatever exceeds the link is queued in front
 * of requests. */
class LinkPace
{
public:
    /** Leaves half of the link to requests, with some margin for bursts. */
    static constexpr double MaxShare = 0.45;

    /** \param linkBytesPerSecond capacity of the link; 0: not limited. */
    explicit LinkPace(double linkBytesPerSecond = 0)
        : m_bytesPerSecond(linkBytesPerSecond * MaxShare)
    {
    }

    void noteSent(size_t bytes, core::TimePoint now)
    {
        if (m_bytesPerSecond <= 0)
            return;
        const std::chrono::duration<double> time(static_cast<double>(bytes) / m_bytesPerSecond);
        m_busyUntil = std::max(m_busyUntil, now)
            + std::chrono::duration_cast<core::TimePoint::duration>(time);
    }

    /** Time until the messages sent so far have used no more than their share of the link. */
    core::Milliseconds backlog(core::TimePoint now) const
    {
        return m_busyUntil <= now ? core::Milliseconds(0)
                                  : std::chrono::ceil<core::Milliseconds>(m_busyUntil - now);
    }

private:
    double m_bytesPerSecond;
    core::TimePoint m_busyUntil{};
};

} // namespace jujube::policy
