#include "policy/engineslowdown.h"

#include <algorithm>
#include <cmath>

namespace jujube::policy {

namespace {

// Follows a change of an engine within seconds; shorter ones show in the reported pace.
constexpr core::Milliseconds HalfLife{10'000};
constexpr double MaxRatio = 4; ///< A single prefill counts as at most this much slower or faster.
constexpr double MinFactor = 0.2;
constexpr double MaxFactor = 5;
constexpr double MinWeight = 0.5; ///< Less evidence than this is not used.
// Evidence of this weight moves the factor half of the way from 1.
constexpr double PriorWeight = 1;
// One gateway cannot outvote the others by stating an absurd weight.
constexpr double MaxWeight = 30;
constexpr size_t MaxPeers = 64; ///< More than the gateways of a deployment.

double decayOver(core::BootClock::duration age)
{
    return std::exp2(-std::chrono::duration<double>(age) / std::chrono::duration<double>(HalfLife));
}

double limitedLog(double logRatio)
{
    return std::clamp(logRatio, -std::log(MaxRatio), std::log(MaxRatio));
}

} // namespace

void EngineSlowdown::note(double takenMs, double expectedMs, double weight, core::TimePoint now)
{
    if (!(takenMs > 0) || !(expectedMs > 0) || !(weight > 0))
        return;
    const double sample = limitedLog(std::log(takenMs / expectedMs));
    SpeedEvidence &own = m_own.evidence;
    const double before = own.weight * decayOver(now - m_own.at);
    const double after = before + std::min(weight, 1.0);
    own.meanLogRatio += (sample - own.meanLogRatio) * (after - before) / after;
    own.weight = std::min(after, MaxWeight);
    m_own.at = now;
}

void EngineSlowdown::merge(uint64_t gateway, const SpeedEvidence &evidence, core::TimePoint now)
{
    if (!std::isfinite(evidence.meanLogRatio) || !(evidence.weight > 0))
        return;
    const SpeedEvidence limited{limitedLog(evidence.meanLogRatio),
                                std::min(evidence.weight, MaxWeight)};
    auto it = std::find_if(m_peers.begin(), m_peers.end(),
                           [gateway](const Source &peer) { return peer.gateway == gateway; });
    if (it == m_peers.end() && m_peers.size() >= MaxPeers)
        it = std::min_element(m_peers.begin(), m_peers.end(),
                              [](const auto &a, const auto &b) { return a.at < b.at; });
    if (it == m_peers.end())
        it = m_peers.insert(it, Source{});
    *it = {gateway, limited, now};
}

std::optional<SpeedEvidence> EngineSlowdown::own(core::TimePoint now) const
{
    const SpeedEvidence evidence{m_own.evidence.meanLogRatio,
                                 m_own.evidence.weight * decayOver(now - m_own.at)};
    return evidence.weight < MinWeight ? std::nullopt : std::optional(evidence);
}

SpeedEvidence EngineSlowdown::merged(core::TimePoint now) const
{
    double weight = m_own.evidence.weight * decayOver(now - m_own.at);
    double sum = weight * m_own.evidence.meanLogRatio;
    for (const Source &it : m_peers) {
        const double peerWeight = it.evidence.weight * decayOver(now - it.at);
        weight += peerWeight;
        sum += peerWeight * it.evidence.meanLogRatio;
    }
    return {weight > 0 ? sum / weight : 0, weight};
}

// The lines of two gateways can differ by a factor, which is the same for all engines and is
// removed by the normalization.
void normalizeSlowdowns(const std::vector<EngineSlowdown *> &engines, core::TimePoint now)
{
    double sum = 0;
    double confidences = 0;
    std::vector<SpeedEvidence> evidence;
    evidence.reserve(engines.size());
    for (const EngineSlowdown *it : engines) {
        const SpeedEvidence &merged = evidence.emplace_back(it->merged(now));
        if (merged.weight < MinWeight)
            continue;
        const double confidence = merged.weight / (merged.weight + PriorWeight);
        sum += confidence * merged.meanLogRatio;
        confidences += confidence;
    }
    for (size_t i = 0; i < engines.size(); ++i) {
        if (evidence[i].weight < MinWeight) {
            engines[i]->m_factor.reset();
            continue;
        }
        const double confidence = evidence[i].weight / (evidence[i].weight + PriorWeight);
        const double relative = evidence[i].meanLogRatio - sum / confidences;
        engines[i]->m_factor = std::clamp(std::exp(confidence * relative), MinFactor, MaxFactor);
    }
}

} // namespace jujube::policy
