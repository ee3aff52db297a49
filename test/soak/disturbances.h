#pragma once

/** \file
 * Defines when which part of a deployment was disturbed, for promises that hold in calm times only.
 */

#include "core/clock.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace jujube::soak {

/** What was disturbed: one gateway, or all of them (store, workers, links). */
constexpr size_t AllGateways = std::numeric_limits<size_t>::max();

class Disturbances
{
public:
    /** Notes the start of a disturbance. \return its number for end(). */
    size_t begin(size_t gateway, core::TimePoint now)
    {
        m_spans.push_back({gateway, now, core::TimePoint::max()});
        return m_spans.size() - 1;
    }
    void end(size_t number, core::TimePoint now) { m_spans[number].to = now; }

    /** Whether a gateway was undisturbed over a time and for a moment before it. */
    bool pathUndisturbed(size_t gateway, core::TimePoint from, core::TimePoint to) const
    {
        return undisturbed(gateway, from, to) && undisturbed(AllGateways, from, to);
    }

    /** Whether a gateway's own process was undisturbed, whatever befell those around it; for
     * AllGateways: whether what all of them use was. */
    bool undisturbed(size_t gateway, core::TimePoint from, core::TimePoint to) const
    {
        return std::none_of(m_spans.begin(), m_spans.end(), [&](const Span &it) {
            const bool over = it.to != core::TimePoint::max() && it.to + RecoveryDelay < from;
            return it.gateway == gateway && it.from <= to && !over;
        });
    }

private:
    // Suspicions, pauses and leases of the disturbed time have run out by then.
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
