#include "policy/prefillrateestimator.h"

#include <cmath>

namespace jujube::policy {

namespace {

constexpr size_t MinSamples = 8;
// Small enough to follow a change of the engines within seconds and to fit over all pairs of
// samples.
constexpr size_t MaxSamples = 40;
constexpr double Quantile = 0.3;
// The slope between two prompts of similar size is dominated by noise.
constexpr double MinTokenDifference = 800;

} // namespace

void PrefillRateEstimator::note(double tokens, double ms)
{
    m_samples.push_back({tokens, ms});
    if (m_samples.size() > MaxSamples)
        m_samples.pop_front();
    if (m_samples.size() >= MinSamples)
        fit();
}

// Quantile (pinball) loss: deviations above the line weigh less than those below, so the best line
// is at the quantile.
double PrefillRateEstimator::quantileLoss(double fixedMs, double msPerToken) const
{
    double sum = 0;
    for (const Sample &it : m_samples) {
        const double above = it.ms - fixedMs - msPerToken * it.tokens;
        sum += above > 0 ? Quantile * above : (Quantile - 1) * above;
    }
    return sum;
}

// An optimal quantile regression line passes through two of the samples.
void PrefillRateEstimator::fit()
{
    double leastLoss = INFINITY;
    for (size_t i = 0; i < m_samples.size(); ++i) {
        for (size_t j = 0; j < i; ++j) {
            const double difference = m_samples[i].tokens - m_samples[j].tokens;
            if (std::abs(difference) < MinTokenDifference)
                continue;
            const double slope = (m_samples[i].ms - m_samples[j].ms) / difference;
            const double fixed = m_samples[i].ms - slope * m_samples[i].tokens;
            if (slope <= 0 || fixed < 0)
                continue;
            const double sum = quantileLoss(fixed, slope);
            if (sum >= leastLoss)
                continue;
            leastLoss = sum;
            constexpr double msPerSecond = 1000;
            m_tokensPerSecond = msPerSecond / slope;
            m_fixedMs = fixed;
        }
    }
}

} // namespace jujube::policy
