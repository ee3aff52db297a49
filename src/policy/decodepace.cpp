#include "policy/decodepace.h"

#include <cmath>

namespace jujube::policy {

namespace {

// A step of current engines with a batch of one, and what each further request adds.
constexpr double InitialStepMs = 4;
constexpr double InitialStepMsPerRequest = 0.08;
// Median, as single events are delayed or arrive in pairs.
constexpr double Quantile = 0.5;
constexpr double LearningRate = 0.1; // Of the logarithm; doubles or halves within some 30 pauses.
constexpr uint32_t MinSamples = 60;
// Longer pauses are preemptions, stage changes or network faults.
constexpr double MaxStepMs = 250;

} // namespace

// Stochastic approximation of the quantile: each pause moves the estimate by how rare its side is.
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
