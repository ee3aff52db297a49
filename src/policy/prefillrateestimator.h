#pragma once

/** \file
 * Defines the estimator of the prefill rate of engines, based on prompts that did not queue.
 */

#include <cstddef>
#include <deque>

namespace jujube::policy {

/** Fits time = fixed + tokens / rate to a lower quantile of the last samples.
 *
 * A lower quantile is used because prompts that other gateways send at the same time make some
 * samples too slow, and nothing makes a sample too fast. The fixed part covers connections and
 * engine steps; without it, the rate of an engine that gets short prompts would be underestimated.
 */
class PrefillRateEstimator
{
public:
    /** Records the prefill time of a prompt that had, as far as known, no other ahead of it. */
    void note(double tokens, double ms);
    /** Prefill rate of one engine; 0 until prompts of different sizes were recorded. */
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
