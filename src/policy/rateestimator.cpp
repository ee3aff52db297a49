#include "policy/rateestimator.h"

#include <algorithm>

namespace jujube::policy {

namespace {

// Weight of a new sample; the average follows a change within about ten requests.
constexpr double NewWeight = 0.15;
// The time of shorter prompts is mostly fixed overhead.
constexpr uint64_t MinPrefillTokens = 64;
constexpr uint64_t MinDecodeTokens = 4;

void blend(double &average, double observed)
{
    average = average == 0 ? observed : average + NewWeight * (observed - average);
}

double perSecond(double amount, core::Milliseconds took)
{
    return amount * 1'000.0 / static_cast<double>(std::max<int64_t>(took.count(), 1));
}

} // namespace

void RateEstimator::notePrefill(uint64_t uncachedTokens, core::Milliseconds took)
{
    if (uncachedTokens >= MinPrefillTokens)
        blend(m_prefill, perSecond(static_cast<double>(uncachedTokens), took));
}

void RateEstimator::noteDecode(uint64_t tokens, core::Milliseconds took)
{
    if (tokens >= MinDecodeTokens)
        blend(m_decode, perSecond(static_cast<double>(tokens), took));
}

void RateEstimator::noteOutput(uint64_t tokens, core::Milliseconds took)
{
    if (tokens >= MinDecodeTokens)
        blend(m_output, perSecond(static_cast<double>(tokens), took));
}

void RateEstimator::noteCost(double cost, core::Milliseconds busy)
{
    if (cost > 0 && busy.count() > 0)
        blend(m_cost, perSecond(cost, busy));
}

} // namespace jujube::policy
