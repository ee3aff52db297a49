#pragma once

/** \file
 * Defines the record of the times at which faults disturbed gateways or what they all depend on,
 * for invariants that hold in undisturbed times only.
 */

#include "core/clock.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace jujube::soak {

/** Stands for all gateways: a fault of the store, an endpoint or a link. */
constexpr size_t AllGateways = std::numeric_limits<size_t>::max();

/** Stands for the store and its link: without them, gateways do not learn of changes. */
constexpr size_t StorePath = AllGateways - 1;

/** Time spans of faults, for each gateway and for all of them together. */
class Disturbances
{
public:
    /** Records the start of a disturbance. \return its number, the argument of end(). */
    size_t begin(size_t gateway, core::TimePoint now)
    {
        m_spans.push_back({gateway, now, core::TimePoint::max()});
        return m_spans.size() - 1;
    }
    void end(size_t number, core::TimePoint now) { m_spans[number].to = now; }

    /** Whether neither the gateway nor what all gateways depend on was disturbed between \a from
     * and \a to or shortly before (RecoveryDelay). */
    bool pathUndisturbed(size_t gateway, core::TimePoint from, core::TimePoint to) const
    {
        return undisturbed(gateway, from, to) && undisturbed(AllGateways, from, to);
    }

    /** As pathUndisturbed(), for the gateway's own process only; for AllGateways: only for what all
     * gateways depend on. */
    bool undisturbed(size_t gateway, core::TimePoint from, core::TimePoint to) const
    {
        return std::none_of(m_spans.begin(), m_spans.end(), [&](const Span &it) {
            const bool over = it.to != core::TimePoint::max() && it.to + RecoveryDelay < from;
            return it.gateway == gateway && it.from <= to && !over;
        });
    }

    /** The time at which a gateway, or what it stands for, has been undisturbed for RecoveryDelay
     * after a time; the maximum if a disturbance lasts. */
    core::TimePoint settledAfter(size_t gateway, core::TimePoint from) const
    {
        core::TimePoint settled = from + RecoveryDelay;
        for (const Span &it : m_spans) {
            if (it.gateway != gateway || it.to < from || it.from > settled)
                continue;
            if (it.to == core::TimePoint::max())
                return it.to;
            settled = std::max(settled, it.to + RecoveryDelay);
        }
        return settled;
    }

private:
    // Time after a fault in which the suspicions, pauses and leases that remain from it expire.
    static constexpr core::Milliseconds RecoveryDelay{3'000};

    struct Span
    {
        size_t gateway = AllGateways;
        core::TimePoint from{};
        core::TimePoint to{};
    };
    std::vector<Span> m_spans;
};

} // namespace jujube::soak
