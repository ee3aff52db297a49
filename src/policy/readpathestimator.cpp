#include "policy/readpathestimator.h"

#include <algorithm>

namespace jujube::policy {

namespace {

constexpr double Fade = 0.99; // Follows the last hundred requests.
constexpr double LeastSamples = 20;
// A fit over requests of like size says nothing of the slope; it is kept within these factors of
// the path so far.
constexpr double MostStep = 1.05;
constexpr double LeastRate = 2; // Tokens a millisecond.
constexpr double MostRate = 500;
constexpr double MostFixedMs = 250;

} // namespace

void PrefillTimeEstimator::note(double tokens, double ms)
{
    m_n = m_n * Fade + 1;
    m_x = m_x * Fade + tokens;
    m_y = m_y * Fade + ms;
    m_xx = m_xx * Fade + tokens * tokens;
    m_xy = m_xy * Fade + tokens * ms;
    const double spread = m_n * m_xx - m_x * m_x;
    if (m_n < LeastSamples || spread <= 0)
        return;
    const double slope = (m_n * m_xy - m_x * m_y) / spread;
    const double rate = slope > 0 ? std::clamp(1 / slope, LeastRate, MostRate) : MostRate;
    m_path.tokensPerMs =
        std::clamp(rate, m_path.tokensPerMs / MostStep, m_path.tokensPerMs * MostStep);
    const double fixed = (m_y - m_x / m_path.tokensPerMs) / m_n;
    m_path.fixedMs = std::clamp(fixed, 0.0, MostFixedMs);
}

} // namespace jujube::policy
