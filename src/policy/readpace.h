#pragma once

/** \file
 * Defines the pace at which engines read prompts, learnt from prompts that nothing was ahead of.
 */

#include <cstddef>
#include <deque>

namespace jujube::policy {

/** Fits time = fixed + tokens / pace to the quicker ones of the last observations.
 *
 * A line through a lower quantile: what other gateways sent in the same moment makes some
 * observations too slow, and nothing makes them too fast. The fixed part is of connections and
 * steps, so a mean of tokens by time would make engines of short prompts look slow.
 */
class PrefillRateEstimator
{
public:
    /** Takes a prompt that an engine read with nothing ahead of it, as far as was known. */
    void note(double tokens, double ms);
    /** 0 until prompts of different sizes were seen. */
    double tokensPerSecond() const { return m_tokensPerSecond; }
    double fixedMs() const { return m_fixedMs; }

private:
    struct Sample
    {
        double tokens = 0;
        double ms = 0;
    };

    double quantileLoss(double fixedMs, double msPerToken) const;
    void fit();

    std::deque<Sample> m_samples; ///< Oldest first.
    double m_tokensPerSecond = 0;
    double m_fixedMs = 0;
};

} // namespace jujube::policy
