#include "policy/prefilldurationestimator.h"

#include <algorithm>
#include <cmath>

namespace jujube::policy {

namespace {

constexpr double MinStep = 0.05; ///< Follows about the last 50 prefills.
constexpr double FirstStep = 1;  ///< Divided by the number of prefills, down to the minimum.
constexpr double MaxFirstStep = 0.5;
constexpr double MaxLogError = 0.5; ///< Larger errors count as this much.
constexpr double MinTokensPerMs = 2;
constexpr double MaxTokensPerMs = 500;
constexpr double MinFixedMs = 1;
constexpr double MaxFixedMs = 250;
constexpr double MinAheadShare = 0.1;
constexpr double MaxAheadShare = 2;

} // namespace

void PrefillDurationEstimator::note(const PrefillWork &work, double ms, double factor)
{
    if (!(ms > 0) || !std::isfinite(ms) || !(factor > 0) || !std::isfinite(factor))
        return;
    const double predicted = m_model.predictMs(work, factor);
    const double error = std::clamp(std::log(ms / predicted), -MaxLogError, MaxLogError);
    const double step =
        std::clamp(FirstStep / static_cast<double>(++m_count), MinStep, MaxFirstStep) * error;
    double &ahead = m_model.aheadShare[std::min(work.priority, LowestEnginePriority)];
    const double aheadPart = factor * ahead * work.aheadTokens / m_model.tokensPerMs / predicted;
    const double tokenPart = factor * work.tokens / m_model.tokensPerMs / predicted + aheadPart;
    const double fixedPart = m_model.fixedMs / predicted;
    const double fetchPart = work.fetches ? m_model.fetchMs / predicted : 0;
    m_model.tokensPerMs = std::clamp(m_model.tokensPerMs * std::exp(-step * tokenPart),
                                     MinTokensPerMs, MaxTokensPerMs);
    m_model.fixedMs =
        std::clamp(m_model.fixedMs * std::exp(step * fixedPart), MinFixedMs, MaxFixedMs);
    m_model.fetchMs =
        std::clamp(m_model.fetchMs * std::exp(step * fetchPart), MinFixedMs, MaxFixedMs);
    ahead = std::clamp(ahead * std::exp(step * aheadPart), MinAheadShare, MaxAheadShare);
}

} // namespace jujube::policy
