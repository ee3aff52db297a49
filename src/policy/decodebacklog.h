#pragma once

/** \file
 * Defines the work that an engine has left.
 */

#include "policy/decodestepestimator.h"

#include <cstdint>

namespace jujube::policy {

/** Output tokens that a stream is expected to produce further. A stream that has exceeded its
 * expectation has an unknown rest, which counts as a quarter of the expectation. */
double expectedRemainingTokens(double expectedTokens, double streamedTokens);

/** Streams of one engine, as far as the gateways and the engine itself state them. */
struct DecodeLoad
{
    double running = 0;         ///< Streams of all gateways.
    double remainingTokens = 0; ///< Output tokens that they still have to produce.
    double reported = 0;        ///< Requests that the engine itself states, including waiting ones.
    bool reportsWaiting = false; ///< The engine states that requests wait for a slot.
    uint32_t slots = 1;
};

/** Expected time to finish a run at one engine.
 *
 * The streams at the engine end one after another, in proportion to the tokens that they have left.
 * Figures that cannot be true are limited, so that a wrong one never makes an engine infinitely
 * slow or infinitely free.
 */
class DecodeBacklog
{
public:
    /** \param usualRemaining mean tokens left of a stream, for streams whose rest is not known.
     * \param factor by which the engine's steps take longer than usual. */
    DecodeBacklog(const DecodeLoad &load, const DecodeStepEstimator &steps, double usualRemaining,
                  double factor);

    /** Whether a further stream has to wait for a slot. */
    bool full() const;
    double waitMs() const; ///< Until a further stream gets a slot.
    /** Time from now until a run of a number of output tokens ends. */
    double finishMs(double tokens) const;
    double streams() const { return m_streams; }
    double remainingTokens() const { return m_streams * m_meanRemaining; }

private:
    const DecodeStepEstimator &m_steps;
    double m_streams = 0;
    double m_slots = 1;
    double m_meanRemaining = 0;
    double m_factor = 1;
    bool m_reportsWaiting = false;
};

} // namespace jujube::policy
