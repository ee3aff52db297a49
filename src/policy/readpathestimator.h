#pragma once

/** \file
 * Defines the estimate of how fast prompts are read, from what requests have taken.
 */

#include "policy/placement.h"

namespace jujube::policy {

/** Fits time = fixed + tokens / rate over the last observations, older ones fading. */
class PrefillTimeEstimator
{
public:
    explicit PrefillTimeEstimator(PrefillTimeModel initial) : m_model(initial) { }

    /** \param tokens of the prompt and of what was ahead of it when it was sent. */
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
