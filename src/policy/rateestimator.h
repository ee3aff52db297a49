#pragma once

/** \file
 * Defines the estimator of an engine's rates, based on completed work.
 */

#include "core/clock.h"

#include <cstdint>

namespace jujube::policy {

/** Estimates the prefill and decode rates of one engine as exponentially weighted averages.
 *
 * Engines differ, so rates are not configured. A rate is 0 until it was observed; the user of the
 * estimator substitutes an assumed rate until then.
 */
class RateEstimator
{
public:
    /** Records the time from the start of a request to its first token.
     *
     * \param uncachedTokens prompt tokens that were not in the prefix cache.
     */
    void notePrefill(uint64_t uncachedTokens, core::Milliseconds took);
    /** Records the time in which the tokens after the first one were produced for one stream. */
    void noteDecode(uint64_t tokens, core::Milliseconds took);
    /** Records the number of tokens that the engine produced for all streams in the given time. */
    void noteOutput(uint64_t tokens, core::Milliseconds took);
    /** Records the cost of work completed in the given time, during which the endpoint was busy. */
    void noteCost(double cost, core::Milliseconds busy);

    double prefillRate() const { return m_prefill; } ///< Tokens per second.
    double decodeRate() const { return m_decode; }   ///< Tokens per second for one stream.
    double outputRate() const { return m_output; }   ///< Tokens per second for all streams.
    double costRate() const { return m_cost; }       ///< Cost units per second.

private:
    double m_prefill = 0;
    double m_decode = 0;
    double m_output = 0;
    double m_cost = 0;
};

} // namespace jujube::policy
