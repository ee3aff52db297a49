#include "policy/decodepace.h"

#include <cmath>

namespace jujube::policy {

namespace {

// A step of current engines with a batch of one, and what each further request adds.
constexpr double FirstStepMs = 4;
constexpr double StepMsPerRequest = 0.08;
// Median, as single events are delayed or arrive in pairs.
constexpr double Quantile = 0.5;
constexpr double LearningRate = 0.1; // Of the logarithm; doubles or halves within some 30 pauses.
constexpr uint32_t EnoughSamples = 60;
// Longer pauses are preemptions, stage changes or network faults.
constexpr double LongestStepMs = 250;

} // namespace

// Stochastic approximation of the quantile: each pause moves the estimate by how rare its side is.
void DecodeStepEstimator::note(double running, double ms, bool reads)
{
    if (running < 1 || ms <= 0 || ms > LongestStepMs)
        return;
    ++m_samples;
    if (reads)
        return;
    const bool above = ms > stepMs(running);
    m_scale *= std::exp(LearningRate * (above ? Quantile : Quantile - 1));
}

double DecodeStepEstimator::stepMs(double running) const
{
    return m_scale * (FirstStepMs + StepMsPerRequest * running);
}

double DecodeStepEstimator::slotsNeeded(double tokensPerSecond, uint32_t slots) const
{
    constexpr double msPerSecond = 1000;
    return tokensPerSecond * stepMs(slots) / msPerSecond;
}

bool DecodeStepEstimator::calibrated() const
{
    return m_samples >= EnoughSamples;
}

} // namespace jujube::policy
