#pragma once

/** \file
 * Defines the estimator of the time from sending a prompt to its first token.
 */

#include "policy/placement.h"

namespace jujube::policy {

/** Fits time = fixed + tokens / rate by least squares over exponentially weighted samples. */
class PrefillTimeEstimator
{
public:
    explicit PrefillTimeEstimator(PrefillTimeModel initial) : m_model(initial) { }

    /** Records the time from sending a prompt to its first token.
     * \param tokens uncached tokens of the prompt and of the prompts ahead of it when it was sent.
     */
    void note(double tokens, double ms);
    const PrefillTimeModel &model() const { return m_model; }

private:
    PrefillTimeModel m_model;
    double m_weight = 0;
    double m_sumTokens = 0;
    double m_sumMs = 0;
    double m_sumTokensSquared = 0;
    double m_sumTokensMs = 0;
};

} // namespace jujube::policy
