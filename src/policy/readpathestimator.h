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
    explicit PrefillTimeEstimator(PrefillTimeModel initial) : m_path(initial) { }

    /** \param tokens of the prompt and of what was ahead of it when it was sent. */
    void note(double tokens, double ms);
    const PrefillTimeModel &model() const { return m_path; }

private:
    PrefillTimeModel m_path;
    double m_n = 0;
    double m_x = 0;
    double m_y = 0;
    double m_xx = 0;
    double m_xy = 0;
};

} // namespace jujube::policy
