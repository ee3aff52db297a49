#pragma once

/** \file
 * Defines the pace of decoding engines, learnt from the pauses between the events of streams.
 */

#include <cstdint>

namespace jujube::policy {

/** Time of a decoding step by the number of requests in the batch.
 *
 * The growth with the batch is fixed; the scale is learnt from the median pause, because some
 * pauses contain prompts that are read between two tokens.
 */
class DecodeStepEstimator
{
public:
    /** Takes the pause before an event of a stream.
     *
     * \param running requests in the engine's batch.
     * \param ms for each token of the event.
     * \param reads prompts were sent there that it has not read yet: the pause contains more than
     * steps.
     */
    void note(double running, double ms, bool prefillPending = false);

    double stepMs(double running) const;
    /** Slots, in full batches, that a rate of tokens needs. */
    double slotsNeeded(double tokensPerSecond, uint32_t slots) const;
    /** Whether enough was seen to go by it. */
    bool calibrated() const;

private:
    double m_stepScale = 1; ///< Against the starting values.
    uint32_t m_sampleCount = 0;
};

} // namespace jujube::policy
