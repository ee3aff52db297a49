#include "policy/decodebacklog.h"

#include <algorithm>
#include <cmath>

namespace jujube::policy {

namespace {

constexpr double MinRemainingShare = 0.25;
// Several times the longest answers; a mean above it is an error of a peer.
constexpr double MaxStreamTokens = 16'384;
// An engine queues few requests beyond its slots, as gateways avoid one without a free slot.
constexpr double MaxReportedPerSlot = 4;
// The largest slowness and the highest pace at once are more likely to be wrong than true.
constexpr double MinFactor = 0.15;
constexpr double MaxFactor = 8;

} // namespace

double expectedRemainingTokens(double expectedTokens, double streamedTokens)
{
    return std::max(expectedTokens - streamedTokens, expectedTokens * MinRemainingShare);
}

DecodeBacklog::DecodeBacklog(const DecodeLoad &load, const DecodeStepEstimator &steps,
                             double usualRemaining, double factor)
    : m_steps(steps),
      m_slots(std::max(1U, load.slots)),
      m_factor(std::clamp(factor, MinFactor, MaxFactor)),
      m_reportsWaiting(load.reportsWaiting)
{
    // Each live stream has tokens left, so a sum of 0 is a missing figure.
    const bool known = load.running > 0 && load.remainingTokens > 0;
    const double mean = known ? load.remainingTokens / load.running : usualRemaining;
    m_meanRemaining = std::clamp(mean, 0.0, MaxStreamTokens);
    // The engine's report contains the gateways' requests as well, so the sums are not added.
    m_streams = std::max(load.running, std::min(load.reported, m_slots * MaxReportedPerSlot));
}

bool DecodeBacklog::full() const
{
    return m_reportsWaiting || m_streams >= m_slots;
}

// With exponentially distributed rests, one of the streams in the batch ends every
// mean / slots tokens.
double DecodeBacklog::waitMs() const
{
    if (!full())
        return 0;
    const double ahead = std::max(0.0, m_streams - m_slots);
    return (ahead + 1) * m_meanRemaining / m_slots * m_steps.stepMs(m_slots) * m_factor;
}

// Over n tokens, another stream with a mean rest of m shares m (1 - exp(-n/m)) steps. As the step
// time is linear in the size of the batch, the mean size is enough.
double DecodeBacklog::finishMs(double tokens) const
{
    if (!(tokens > 0))
        return waitMs();
    const double others = std::min(m_streams, m_slots - 1);
    const double shared =
        m_meanRemaining > 0 ? m_meanRemaining * -std::expm1(-tokens / m_meanRemaining) : 0;
    return waitMs() + tokens * m_steps.stepMs(1 + others * shared / tokens) * m_factor;
}

} // namespace jujube::policy
