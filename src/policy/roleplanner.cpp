#include "policy/roleplanner.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace jujube::policy {

namespace {

// Ratio between the time constants of the slow and the fast average of slot use.
constexpr double FastAverageFactor = 3;
// Number of time constants that must have passed before the trend is used.
constexpr int WarmUpTimeConstants = 4;

double asSeconds(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

RolePlanner::RolePlanner(RolePlannerSettings settings) : m_settings(settings)
{
}

std::optional<RoleChange> RolePlanner::plan(const std::vector<RoleView> &engines,
                                            core::TimePoint now)
{
    std::map<std::string, std::vector<RoleView>> byModel;
    for (const RoleView &it : engines)
        byModel[it.model].push_back(it);
    for (const auto &[model, group] : byModel) {
        if (auto change = planModel(model, group, now))
            return change;
    }
    return std::nullopt;
}

void RolePlanner::updateAverages(DemandAverages &averages, const std::vector<RoleView> &engines,
                                 core::TimePoint now) const
{
    double prefill = 0;
    double decode = 0;
    double use = 0;
    double count = 0;
    for (const RoleView &it : engines) {
        if (!it.available || it.prefillRate <= 0 || it.decodeRate <= 0)
            continue;
        const double slots = std::max(it.slots, 1U);
        const double requests = it.running + it.queuedRequests;
        const double meanOutput =
            requests > 0 ? static_cast<double>(it.outstandingOutput) / requests : 0;
        prefill += static_cast<double>(it.queuedTokens) / it.prefillRate;
        decode += std::max(0.0, requests - slots) * meanOutput / (it.decodeRate * slots);
        use += it.running / slots;
        ++count;
    }
    if (count == 0)
        return;
    const double elapsed = averages.at == core::TimePoint{} ? 0 : asSeconds(now - averages.at);
    const double weight = 1 - std::exp(-elapsed / asSeconds(m_settings.smoothing));
    averages.prefillBacklogSeconds += weight * (prefill / count - averages.prefillBacklogSeconds);
    averages.slotWaitSeconds += weight * (decode / count - averages.slotWaitSeconds);
    averages.slotUse += weight * (use / count - averages.slotUse);
    const double fastWeight =
        1 - std::exp(-elapsed * FastAverageFactor / asSeconds(m_settings.smoothing));
    averages.slotUseFast += fastWeight * (use / count - averages.slotUseFast);
    if (averages.since == core::TimePoint{})
        averages.since = now;
    averages.at = now;
}

// Changes are spaced so that each takes effect before the next is decided, and limited in number so
// that an oscillating load causes few of them.
bool RolePlanner::mayChange(DemandAverages &averages, core::TimePoint now) const
{
    std::deque<core::TimePoint> &changes = averages.changes;
    while (!changes.empty() && now - changes.front() > m_settings.budgetWindow)
        changes.pop_front();
    if (changes.size() >= m_settings.maxChanges)
        return false;
    return changes.empty() || now - changes.back() >= m_settings.changeInterval;
}

// A moving average lags a linear rise by its time constant, so the slope is the difference of the
// two averages divided by the difference of their time constants.
double RolePlanner::projectedSlotUse(const DemandAverages &averages) const
{
    // In a fleet that has just started, slot use rises without a change of the load mix.
    if (averages.at - averages.since < m_settings.smoothing * WarmUpTimeConstants)
        return averages.slotUse;
    const double slowLag = asSeconds(m_settings.smoothing);
    const double fastLag = slowLag / FastAverageFactor;
    const double slope = (averages.slotUseFast - averages.slotUse) / (slowLag - fastLag);
    return averages.slotUseFast + slope * (fastLag + asSeconds(m_settings.trendHorizon));
}

std::optional<core::Role> RolePlanner::bottleneckPhase(const DemandAverages &averages) const
{
    const double least = asSeconds(m_settings.minBacklogTime);
    const bool decodeHasRoom = averages.slotUse < m_settings.decodeSpareSlotUse;
    if (averages.prefillBacklogSeconds > least && decodeHasRoom
        && averages.prefillBacklogSeconds > averages.slotWaitSeconds * m_settings.minBacklogRatio)
        return core::Role::Prefill;
    const bool decodeWaits = averages.slotWaitSeconds > least
        && averages.slotWaitSeconds > averages.prefillBacklogSeconds * m_settings.minBacklogRatio;
    // Slots fill up before requests wait; a change made then is complete when the bottleneck
    // occurs.
    const bool slotsFill = projectedSlotUse(averages) > m_settings.decodeBottleneckSlotUse
        && averages.prefillBacklogSeconds < least / 2;
    if (decodeWaits || slotsFill)
        return core::Role::Decode;
    return std::nullopt;
}

std::optional<RoleChange> RolePlanner::planModel(const std::string &model,
                                                 const std::vector<RoleView> &engines,
                                                 core::TimePoint now)
{
    DemandAverages &averages = m_demandAverages[model];
    updateAverages(averages, engines, now);
    if (!mayChange(averages, now))
        return std::nullopt;
    // Another engine must not become unavailable while one already is.
    const bool allAvailable = std::all_of(engines.begin(), engines.end(),
                                          [](const RoleView &it) { return it.available; });
    if (!allAvailable)
        return std::nullopt;

    const auto wanted = bottleneckPhase(averages);
    if (!wanted)
        return std::nullopt;
    const core::Role opposite =
        *wanted == core::Role::Prefill ? core::Role::Decode : core::Role::Prefill;
    const double gain = m_settings.specialistGain * asSeconds(m_settings.horizon);
    if (gain < asSeconds(m_settings.changeCost) * m_settings.minGainFactor)
        return std::nullopt;

    // An engine specialised in the opposite phase is changed back to mixed before a mixed engine is
    // specialised.
    const RoleView *best = nullptr;
    for (const RoleView &it : engines) {
        const auto changed = m_changedAt.find(it.vm);
        const bool recent =
            changed != m_changedAt.end() && now - changed->second < m_settings.engineChangeInterval;
        const core::Role target = it.role == opposite ? core::Role::Mixed : *wanted;
        if (it.role == *wanted || recent || !keepsMixedEngines(it, target, engines))
            continue;
        const bool better = !best || (it.role == opposite && best->role != opposite)
            || (it.role == best->role && it.running < best->running);
        if (better)
            best = &it;
    }
    if (!best)
        return std::nullopt;
    averages.changes.push_back(now);
    m_changedAt[best->vm] = now;
    return RoleChange{best->vm, best->role == opposite ? core::Role::Mixed : *wanted, gain};
}

bool RolePlanner::keepsMixedEngines(const RoleView &candidate, core::Role role,
                                    const std::vector<RoleView> &engines) const
{
    if (role == core::Role::Mixed)
        return true;
    std::set<std::string> domains;
    std::set<std::string> mixedDomains;
    uint32_t mixed = 0;
    for (const RoleView &it : engines) {
        domains.insert(it.domain);
        if (it.vm == candidate.vm || it.role != core::Role::Mixed)
            continue;
        ++mixed;
        mixedDomains.insert(it.domain);
    }
    const size_t wantedDomains =
        std::min<size_t>(std::max(2U, candidate.minDomains), domains.size());
    return mixed >= std::max(m_settings.minMixed, 1U) && mixedDomains.size() >= wantedDomains;
}

} // namespace jujube::policy
