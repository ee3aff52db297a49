#include "policy/stageplanner.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace jujube::policy {

uint32_t StagePlanner::wanted(size_t engines, const StageDemand &demand) const
{
    if (engines < 2)
        return 0;
    const auto n = static_cast<double>(engines);
    double prefill = n * m_settings.initialPrefillShare;
    double decode = 1;
    if (demand.promptTokensPerSecond >= m_settings.minTraffic) {
        prefill = demand.promptTokensPerSecond
            / (m_settings.prefillTokensPerSecond * m_settings.targetUse);
        decode = std::max(1.0, demand.streams / (demand.slots * m_settings.decodeUse));
    }
    // When both are short the engines are divided in the proportion of the needs.
    if (prefill + decode > n)
        prefill = n * prefill / (prefill + decode);
    constexpr double RoundUpFrom = 0.3; // A queue for prompts costs more than a fuller batch.
    const double target = std::floor(prefill + (1 - RoundUpFrom));
    return static_cast<uint32_t>(std::clamp(target, 1.0, n - 1));
}

std::vector<StageChange> StagePlanner::plan(const std::vector<StageView> &engines,
                                            const StageDemand &demand, core::TimePoint now)
{
    const auto available = static_cast<size_t>(std::count_if(
        engines.begin(), engines.end(), [](const StageView &it) { return it.available; }));
    const uint32_t target = wanted(available, demand);
    if (target == 0)
        return {};
    if (m_wish != target) {
        m_wish = target;
        m_wishSince = now;
    }
    const bool quiet = demand.promptTokensPerSecond < m_settings.minTraffic && demand.streams < 1;
    if (quiet && (!m_started || now - m_lastRound >= m_settings.retry)) {
        const auto round = changes(engines, target, engines.size());
        m_started = true;
        if (!round.empty())
            m_lastRound = now;
        return round;
    }
    if (now - m_wishSince < m_settings.settle
        || (m_lastRound != core::TimePoint{} && now - m_lastRound < m_settings.interval))
        return {};
    auto round = changes(engines, target, 1);
    if (!round.empty())
        m_lastRound = now;
    return round;
}

std::vector<StageChange> StagePlanner::changes(const std::vector<StageView> &engines,
                                               uint32_t target, size_t most) const
{
    std::map<std::string, int> prefillByDomain;
    uint32_t present = 0;
    for (const StageView &it : engines) {
        if (it.prefill && it.available) {
            ++present;
            ++prefillByDomain[it.domain];
        }
    }
    const bool morePrefill = present < target;
    const uint32_t difference = morePrefill ? target - present : present - target;
    std::vector<const StageView *> movable;
    for (const StageView &it : engines) {
        if (it.available && it.prefill != morePrefill)
            movable.push_back(&it);
    }
    std::vector<StageChange> result;
    while (result.size() < std::min<size_t>(difference, most) && !movable.empty()) {
        // The domain that has least of the stage goes first, then the engine with least to lose.
        const auto better = [&](const StageView *a, const StageView *b) {
            const int x = prefillByDomain[a->domain];
            const int y = prefillByDomain[b->domain];
            if (x != y)
                return morePrefill ? x < y : x > y;
            return a->running != b->running ? a->running < b->running : a->id < b->id;
        };
        const auto it = std::min_element(movable.begin(), movable.end(), better);
        prefillByDomain[(*it)->domain] += morePrefill ? 1 : -1;
        result.push_back({(*it)->id, morePrefill});
        movable.erase(it);
    }
    return result;
}

} // namespace jujube::policy
