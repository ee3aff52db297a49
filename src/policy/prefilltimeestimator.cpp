#include "policy/prefilltimeestimator.h"

#include <algorithm>

namespace jujube::policy {

namespace {

constexpr double DecayFactor = 0.99; // Follows about the last 100 requests.
constexpr double MinSamples = 20;
// Requests of similar size give no reliable slope, so a sample changes the rate by at most this
// factor.
constexpr double MaxStepFactor = 1.05;
constexpr double MinTokensPerMs = 2;
constexpr double MaxTokensPerMs = 500;
constexpr double MaxFixedMs = 250;

} // namespace

void PrefillTimeEstimator::note(double tokens, double ms)
{
    m_weight = m_weight * DecayFactor + 1;
    m_sumTokens = m_sumTokens * DecayFactor + tokens;
    m_sumMs = m_sumMs * DecayFactor + ms;
    m_sumTokensSquared = m_sumTokensSquared * DecayFactor + tokens * tokens;
    m_sumTokensMs = m_sumTokensMs * DecayFactor + tokens * ms;
    const double spread = m_weight * m_sumTokensSquared - m_sumTokens * m_sumTokens;
    if (m_weight < MinSamples || spread <= 0)
        return;
    const double msPerToken = (m_weight * m_sumTokensMs - m_sumTokens * m_sumMs) / spread;
    const double fittedRate = msPerToken > 0
        ? std::clamp(1 / msPerToken, MinTokensPerMs, MaxTokensPerMs)
        : MaxTokensPerMs;
    m_model.tokensPerMs = std::clamp(fittedRate, m_model.tokensPerMs / MaxStepFactor,
                                     m_model.tokensPerMs * MaxStepFactor);
    const double fixed = (m_sumMs - m_sumTokens / m_model.tokensPerMs) / m_weight;
    m_model.fixedMs = std::clamp(fixed, 0.0, MaxFixedMs);
}

} // namespace jujube::policy
