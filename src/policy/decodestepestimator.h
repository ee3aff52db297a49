#pragma once

/** \file
 * Defines the estimator of decode step times, based on the intervals between events of streams.
 */

#include <cstdint>

namespace jujube::policy {

/** Estimates the time of a decode step as a function of the batch size.
 *
 * The ratio between batch sizes is fixed; a common scale follows the median of the observed
 * intervals. A mean would be too high, because some intervals include the prefill of other prompts
 * between two tokens.
 */
class DecodeStepEstimator
{
public:
    /** Records the interval before an event of a stream.
     *
     * \param running number of requests in the engine's batch.
     * \param ms interval divided by the number of tokens in the event.
     * \param prefillPending whether prompts sent to the engine still await prefill. The interval
     * then contains more than decode steps, so it counts as a sample but does not change the
     * estimate.
     */
    void note(double running, double ms, bool prefillPending = false);

    double stepMs(double running) const;
    /** Returns the number of slots, in full batches, that are needed for a rate of output tokens.
     * \param slots size of a full batch. */
    double slotsNeeded(double tokensPerSecond, uint32_t slots) const;
    /** Returns whether there were enough samples to rely on the estimate. */
    bool calibrated() const;

private:
    double m_stepScale = 1; ///< Factor relative to the initial step time.
    uint32_t m_sampleCount = 0;
};

} // namespace jujube::policy
