#include "policy/stageplanner.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace jujube::policy {

// Use of the stage that is shorter, relative to its bound.
double StagePlanner::pressure(size_t prefill, size_t decode, const StageDemand &demand) const
{
    const double reading = demand.promptTokensPerSecond
        / (static_cast<double>(prefill) * demand.prefillTokensPerSecond);
    const double decoding = demand.streams / (static_cast<double>(decode) * demand.slots);
    return std::max(reading / m_settings.prefillUse, decoding / m_settings.decodeUse);
}

size_t StagePlanner::best(size_t engines, const StageDemand &demand) const
{
    size_t best = 1;
    for (size_t prefill = 2; prefill < engines; ++prefill) {
        if (pressure(prefill, engines - prefill, demand) < pressure(best, engines - best, demand))
            best = prefill;
    }
    return best;
}

std::vector<StageChange> StagePlanner::plan(const std::vector<StageView> &engines,
                                            const StageDemand &demand, core::TimePoint now)
{
    size_t available = 0;
    size_t prefill = 0;
    for (const StageView &it : engines) {
        available += it.available ? 1 : 0;
        prefill += it.available && it.prefill ? 1 : 0;
    }
    if (available < 2)
        return {};
    const bool due = m_lastRound == core::TimePoint{} || now - m_lastRound >= m_settings.interval;
    const bool overdue = m_lastRound == core::TimePoint{} || now - m_lastRound >= m_settings.retry;
    m_trafficSeen = m_trafficSeen || demand.promptTokensPerSecond > 0 || demand.streams > 0;

    std::vector<StageChange> round;
    if (!m_trafficSeen) {
        constexpr double roundUpFrom = 0.3; // A queue for prompts costs more than a fuller batch.
        const double share = static_cast<double>(available) * m_settings.initialPrefillShare;
        const auto target = static_cast<size_t>(std::floor(share + 1 - roundUpFrom));
        if (overdue)
            round = changes(engines, std::clamp<size_t>(target, 1, available - 1), available);
    } else if (prefill == 0 || prefill == available) {
        if (overdue)
            round = changes(engines, prefill == 0 ? 1 : available - 1, 1);
    } else {
        const size_t target = best(available, demand);
        const double present = pressure(prefill, available - prefill, demand);
        const double after = pressure(target, available - target, demand);
        const bool wanted = present > 1 && after < present * (1 - m_settings.leastGain);
        const std::optional<size_t> wish = wanted ? std::optional(target) : std::nullopt;
        if (wish.has_value() != m_wish.has_value()
            || (wish && (*wish > prefill) != (*m_wish > prefill)))
            m_wishSince = now;
        m_wish = wish;
        if (wanted && due && now - m_wishSince >= m_settings.settle)
            round = changes(engines, target, 1);
    }
    if (!round.empty())
        m_lastRound = now;
    return round;
}

std::vector<StageChange> StagePlanner::changes(const std::vector<StageView> &engines, size_t target,
                                               size_t most) const
{
    std::map<std::string, int> prefillByDomain;
    size_t present = 0;
    for (const StageView &it : engines) {
        if (it.prefill && it.available) {
            ++present;
            ++prefillByDomain[it.domain];
        }
    }
    if (present == target)
        return {};
    const bool morePrefill = present < target;
    const size_t difference = morePrefill ? target - present : present - target;
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
