#pragma once

/** \file
 * Defines the estimate of an engine's prefill speed relative to the other engines of its service.
 */

#include "core/clock.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace jujube::policy {

/** Weighted mean of log(taken time / expected time) of observed prefills. */
struct SpeedEvidence
{
    double meanLogRatio = 0;
    double weight = 0; ///< Equivalent number of prefills that did not wait for others.
};

/** Factor by which prefills of one engine incarnation take longer than is usual for its service.
 *
 * The evidence of this gateway and of its peers is merged by weight and decays. The factor is
 * limited, so that it changes the share of work that an engine gets and never excludes the engine.
 */
class EngineSlowdown
{
public:
    /** Records a prefill.
     * \param expectedMs time by the service's line, without the slowdown of this engine.
     * \param weight from 0 to 1; small if most of the time was probably spent waiting. */
    void note(double takenMs, double expectedMs, double weight, core::TimePoint now);
    /** Replaces the evidence of another gateway; figures that are not plausible are limited or
     * ignored. \param gateway identifies the sender. */
    void merge(uint64_t gateway, const SpeedEvidence &evidence, core::TimePoint now);
    /** \return the evidence of this gateway; nothing if there is too little to state. */
    std::optional<SpeedEvidence> own(core::TimePoint now) const;
    /** \return the evidence of all gateways. */
    SpeedEvidence merged(core::TimePoint now) const;
    /** \return the factor as of the last normalizeSlowdowns(); nothing without evidence. */
    std::optional<double> factor() const { return m_factor; }

private:
    friend void normalizeSlowdowns(const std::vector<EngineSlowdown *> &engines,
                                   core::TimePoint now);

    struct Source
    {
        uint64_t gateway = 0;
        SpeedEvidence evidence;
        core::TimePoint at{};
    };

    Source m_own;
    std::vector<Source> m_peers;
    std::optional<double> m_factor;
};

/** Updates the factors of the engines of one service so that their geometric mean is 1. */
void normalizeSlowdowns(const std::vector<EngineSlowdown *> &engines, core::TimePoint now);

} // namespace jujube::policy
