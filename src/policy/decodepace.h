#pragma once

/** \file
 * Defines the pace of decoding engines, learnt from the pauses between the events of streams.
 */

#include <cstdint>

namespace jujube::policy {

/** Time of a decoding step by the number of requests in the batch.
 *
 * Steps are taken to grow with the batch as those of most engines do; how long they are is learnt
 * from the median pause, as some contain prompts that are read between two tokens.
 */
class DecodePace
{
public:
    /** Takes the pause before an event of a stream.
     *
     * \param running requests in the engine's batch.
     * \param ms for each token of the event.
     * \param reads prompts were sent there that it has not read yet: the pause is no step alone.
     */
    void note(double running, double ms, bool reads = false);

    double stepMs(double running) const;
    /** Slots of engines with full batches that make so many tokens. */
    double slotsFor(double tokensPerSecond, uint32_t slots) const;
    /** Whether enough was seen to go by it. */
    bool learnt() const;

private:
    double m_scale = 1; ///< Against the starting values.
    uint32_t m_samples = 0;
};

} // namespace jujube::policy
