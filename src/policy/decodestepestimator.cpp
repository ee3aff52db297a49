#include "policy/decodestepestimator.h"

#include <cmath>

namespace jujube::policy {

namespace {

// Step time of current engines: a fixed part, and a part for each request in the batch.
constexpr double InitialStepMs = 4;
constexpr double InitialStepMsPerRequest = 0.08;
// The median, because single events are delayed or arrive in pairs.
constexpr double Quantile = 0.5;
constexpr double LearningRate = 0.1; // Of the logarithm: doubles or halves within about 30 samples.
constexpr uint32_t MinSamples = 60;
// Longer intervals are preemptions, stage changes or network faults.
constexpr double MaxStepMs = 250;

} // namespace

// Stochastic approximation of the quantile: a sample above the estimate raises it in proportion to
// Quantile, one below lowers it in proportion to 1 - Quantile.
void DecodeStepEstimator::note(double running, double ms, bool prefillPending)
{
    if (running < 1 || ms <= 0 || ms > MaxStepMs)
        return;
    ++m_sampleCount;
    if (prefillPending)
        return;
    const bool above = ms > stepMs(running);
    m_stepScale *= std::exp(LearningRate * (above ? Quantile : Quantile - 1));
}

double DecodeStepEstimator::stepMs(double running) const
{
    return m_stepScale * (InitialStepMs + InitialStepMsPerRequest * running);
}

double DecodeStepEstimator::slotsNeeded(double tokensPerSecond, uint32_t slots) const
{
    constexpr double msPerSecond = 1000;
    return tokensPerSecond * stepMs(slots) / msPerSecond;
}

bool DecodeStepEstimator::calibrated() const
{
    return m_sampleCount >= MinSamples;
}

} // namespace jujube::policy
