#pragma once

/** \file
 * Defines the learning of an engine's speed from what it did.
 */

#include "core/clock.h"

#include <cstdint>

namespace jujube::policy {

/** Learns prefill and decode rates of one engine as exponentially weighted averages.
 *
 * Engines in stock differ, so no rate is configured. Until something was seen the rates are 0 and
 * the reader falls back to an assumption of its own.
 */
class RateEstimator
{
public:
    /** Notes the time from the start of a request to its first token.
     *
     * \param uncachedTokens prompt tokens that were not in the prefix cache.
     */
    void notePrefill(uint64_t uncachedTokens, core::Milliseconds took);
    /** Notes the time in which tokens after the first one were produced for one stream. */
    void noteDecode(uint64_t tokens, core::Milliseconds took);
    /** Notes that an engine produced tokens for all its streams together in this time. */
    void noteOutput(uint64_t tokens, core::Milliseconds took);
    /** Notes that cost units of finished work took this long while the endpoint was busy. */
    void noteCost(double cost, core::Milliseconds busy);

    double prefillRate() const { return m_prefill; } ///< Tokens a second.
    double decodeRate() const { return m_decode; }   ///< Tokens a second for one stream.
    double outputRate() const { return m_output; }   ///< Tokens a second for all streams.
    double costRate() const { return m_cost; }       ///< Cost units a second.

private:
    double m_prefill = 0;
    double m_decode = 0;
    double m_output = 0;
    double m_cost = 0;
};

} // namespace jujube::policy
