#include "policy/stageplanner.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace jujube::policy {

namespace {

// Longer than the time for which a stage change or a crash of some engines distorts the split.
constexpr std::chrono::duration<double> ObservedShareTimeConstant{5};
// Longer than the time from the end of an engine until its successor has changed its stage.
constexpr core::Milliseconds ReplacementTime{10'000};

double prefillShare(const std::vector<StageView> &engines)
{
    const auto prefill = std::count_if(engines.begin(), engines.end(),
                                       [](const StageView &it) { return it.prefill; });
    return static_cast<double>(prefill) / static_cast<double>(engines.size());
}

double prefillSpeed(const StageView &engine)
{
    constexpr double minSlowdown = 0.2;
    constexpr double maxSlowdown = 5;
    return 1 / std::clamp(engine.slowdown, minSlowdown, maxSlowdown);
}

// Speeds within about a quarter of each other are in one class, so that the error of the estimates
// does not decide which engine is moved.
int speedClass(const StageView &engine)
{
    constexpr double classWidth = 1.25;
    return static_cast<int>(std::lround(std::log(prefillSpeed(engine)) / std::log(classWidth)));
}

// Fast engines decode: each token of a stream takes longer on a slow one, while a large part of a
// prefill does not depend on the speed, and long prompts go to those prefill engines that are fast.
// Each doubling of the speed outweighs this many engines of imbalance between failure domains.
int speedInEngines(const StageView &engine)
{
    constexpr double enginesPerDoubling = 2;
    return static_cast<int>(std::lround(enginesPerDoubling * std::log2(prefillSpeed(engine))));
}

} // namespace

// Returns the use of the bottleneck stage relative to its target use.
double StagePlanner::bottleneckUse(size_t prefill, size_t decode, const StageDemand &demand) const
{
    const double prefillUse = demand.promptTokensPerSecond
        / (static_cast<double>(prefill) * demand.prefillTokensPerSecond);
    const double decodeUse = demand.busyDecodeSlots / (static_cast<double>(decode) * demand.slots);
    return std::max(prefillUse / m_settings.targetPrefillUse,
                    decodeUse / m_settings.targetDecodeUse);
}

size_t StagePlanner::bestPrefillCount(size_t engines, const StageDemand &demand) const
{
    size_t best = 1;
    for (size_t prefill = 2; prefill < engines; ++prefill) {
        if (bottleneckUse(prefill, engines - prefill, demand)
            < bottleneckUse(best, engines - best, demand))
            best = prefill;
    }
    return best;
}

size_t StagePlanner::initialPrefillCount(size_t engines, uint32_t slots) const
{
    const double ratio = static_cast<double>(m_settings.referenceSlots) / std::max(1U, slots);
    const double decode = m_settings.initialDecodeShare * std::sqrt(std::sqrt(ratio));
    // Rounds up early, as prefill queues cost more than fuller batches.
    constexpr double roundUpFrom = 0.3;
    const double prefill =
        std::floor(static_cast<double>(engines) * (1 - decode) + 1 - roundUpFrom);
    return static_cast<size_t>(std::clamp(prefill, 1.0, static_cast<double>(engines - 1)));
}

size_t StagePlanner::targetPrefillCount(size_t engines, uint32_t slots) const
{
    if (!m_targetShare)
        return initialPrefillCount(engines, slots);
    const double prefill = std::round(*m_targetShare * static_cast<double>(engines));
    return static_cast<size_t>(std::clamp(prefill, 1.0, static_cast<double>(engines - 1)));
}

// Updates the mean over the time since traffic began, in which a swing counts by its duration.
void StagePlanner::observe(const StageDemand &demand, core::TimePoint now)
{
    if (m_trafficSince == core::TimePoint{})
        m_trafficSince = m_observedAt = now;
    const double totalSeconds = std::chrono::duration<double>(now - m_trafficSince).count();
    const double elapsedSeconds = std::chrono::duration<double>(now - m_observedAt).count();
    const double weight = totalSeconds > 0 ? elapsedSeconds / totalSeconds : 1;
    const StageDemand before = std::exchange(m_meanDemand, demand);
    m_meanDemand.promptTokensPerSecond = before.promptTokensPerSecond
        + weight * (demand.promptTokensPerSecond - before.promptTokensPerSecond);
    m_meanDemand.busyDecodeSlots =
        before.busyDecodeSlots + weight * (demand.busyDecodeSlots - before.busyDecodeSlots);
    m_observedAt = now;
}

// Returns the number of prefill engines that fits the mean demand so far; nothing while the demand
// is not known well enough or if the present split is good enough.
std::optional<size_t> StagePlanner::fitToTraffic(size_t prefill, size_t available,
                                                 core::TimePoint now)
{
    if (m_fitted || !m_meanDemand.decodeStepsKnown
        || now - m_trafficSince < m_settings.firstFitAfter)
        return std::nullopt;
    m_fitted = true;
    // The load mix of these seconds may be a short swing, so neither stage may lose more than half
    // of its engines.
    const size_t fitting = std::clamp(bestPrefillCount(available, m_meanDemand), (prefill + 1) / 2,
                                      available - (available - prefill + 1) / 2);
    const double gain = 1
        - bottleneckUse(fitting, available - fitting, m_meanDemand)
            / bottleneckUse(prefill, available - prefill, m_meanDemand);
    const size_t target = gain > m_settings.minGain ? fitting : prefill;
    m_targetShare = static_cast<double>(target) / static_cast<double>(available);
    if (target == prefill)
        return std::nullopt;
    return target;
}

// Time without a wanted change is subtracted instead of resetting the sum, because a swing of some
// seconds interrupts a lasting shift without ending it. A change wanted in the other direction
// restarts the sum.
bool SustainedCondition::update(bool wanted, bool towardsPrefill, core::TimePoint now,
                                core::Milliseconds delay)
{
    const auto passed = m_updatedAt == core::TimePoint{}
        ? core::Milliseconds(0)
        : std::chrono::duration_cast<core::Milliseconds>(now - m_updatedAt);
    m_updatedAt = now;
    if (wanted && towardsPrefill != m_towardsPrefill) {
        m_towardsPrefill = towardsPrefill;
        m_wantedTime = {};
    }
    m_wantedTime =
        std::clamp(m_wantedTime + (wanted ? passed : -passed), core::Milliseconds(0), delay);
    return wanted && m_wantedTime >= delay;
}

// Returns whether a stage has lost so many engines that it should get some of the other stage.
bool StagePlanner::lostTooMany(size_t present, size_t target) const
{
    return static_cast<double>(present) <= static_cast<double>(target) * m_settings.lossThreshold;
}

// Returns the number of prefill engines wanted now; the present one if there is no lasting reason
// for a change.
size_t StagePlanner::wantedPrefillCount(size_t prefill, size_t available, const StageDemand &demand,
                                        core::TimePoint now)
{
    const size_t targetCount = targetPrefillCount(available, demand.slots);
    const bool lost = lostTooMany(prefill, targetCount)
        || lostTooMany(available - prefill, available - targetCount);
    const size_t fitting = bestPrefillCount(available, demand);
    const double present = bottleneckUse(prefill, available - prefill, demand);
    const double after = bottleneckUse(fitting, available - fitting, demand);
    const bool shifted = present > 1 && after < present * (1 - m_settings.minGain);
    // Both have to be updated each time, also if the first one is sustained.
    const bool sustainedLoss =
        m_loss.update(lost, targetCount > prefill, now, m_settings.lossDelay);
    const bool sustainedShift =
        m_shift.update(shifted, fitting > prefill, now, m_settings.shiftDelay);
    if (sustainedLoss)
        return targetCount;
    if (!sustainedShift)
        return prefill;
    if (m_targetShare)
        m_targetShare = static_cast<double>(fitting) / static_cast<double>(available);
    return fitting;
}

void StagePlanner::observeAsFollower(const std::vector<StageView> &engines,
                                     const StageDemand &demand, core::TimePoint now)
{
    m_isLeader = false;
    m_trafficSeen = m_trafficSeen || demand.promptTokensPerSecond > 0 || demand.busyDecodeSlots > 0;
    if (m_trafficSeen)
        observe(demand, now);
    const auto passed = std::exchange(m_shareObservedAt, now);
    if (engines.empty() || (demand.assignsNewEngines && observeReplacements(engines, now)))
        return;
    const double share = prefillShare(engines);
    const double weight =
        std::min(1.0, std::chrono::duration<double>(now - passed) / ObservedShareTimeConstant);
    m_observedShare =
        m_observedShare ? *m_observedShare + weight * (share - *m_observedShare) : share;
}

// Returns whether engines were replaced a short time ago. The present share is then not the one
// that the leader aims at.
bool StagePlanner::observeReplacements(const std::vector<StageView> &engines, core::TimePoint now)
{
    std::set<std::pair<std::string, int64_t>> present;
    for (const StageView &it : engines)
        present.emplace(it.id, it.bornMs);
    const bool changed = present != m_observedEngines;
    if (changed && m_trafficSeen && m_observedShare)
        m_replacedAt = now;
    m_observedEngines = std::move(present);
    return m_replacedAt != core::TimePoint{} && now - m_replacedAt < ReplacementTime;
}

// Adopts the split of the previous leader, because changing it would make engines unavailable for
// seconds.
void StagePlanner::becomeLeader(const std::vector<StageView> &engines, core::TimePoint now)
{
    if (std::exchange(m_isLeader, true) || !m_trafficSeen)
        return;
    m_targetShare = m_observedShare.value_or(prefillShare(engines));
    m_fitted = m_fitted
        || (m_trafficSince != core::TimePoint{} && now - m_trafficSince > m_settings.firstFitAfter);
}

std::vector<StageChange> StagePlanner::plan(const std::vector<StageView> &engines,
                                            const StageDemand &demand, core::TimePoint now)
{
    std::vector<StageChange> changes = planNewEngines(engines, demand, now);
    const auto round = planRound(withAssignments(engines), demand, now);
    changes.insert(changes.end(), round.begin(), round.end());
    return changes;
}

// Before traffic the initial split covers all engines.
std::vector<StageChange> StagePlanner::planNewEngines(const std::vector<StageView> &engines,
                                                      const StageDemand &demand,
                                                      core::TimePoint now)
{
    if (!m_isLeader || !m_trafficSeen || !demand.assignsNewEngines)
        return {};
    forgetOldAssignments(engines, now);
    return assignNewEngines(engines, demand, now);
}

std::vector<StageChange> StagePlanner::planRound(const std::vector<StageView> &engines,
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
    const bool roundDue =
        m_lastRound == core::TimePoint{} || now - m_lastRound >= m_settings.roundInterval;
    const bool retryDue =
        m_lastRound == core::TimePoint{} || now - m_lastRound >= m_settings.retryInterval;
    m_trafficSeen = m_trafficSeen || demand.promptTokensPerSecond > 0 || demand.busyDecodeSlots > 0;

    becomeLeader(engines, now);
    if (m_trafficSeen)
        observe(demand, now);

    std::vector<StageChange> round;
    if (!m_trafficSeen) {
        if (retryDue)
            round = planChanges(engines, initialPrefillCount(available, demand.slots), available);
    } else if (prefill == 0 || prefill == available) {
        if (retryDue)
            round = planChanges(engines, prefill == 0 ? 1 : available - 1, 1);
    } else if (const auto fitted = fitToTraffic(prefill, available, now)) {
        round = planChanges(engines, *fitted, available);
    } else {
        const size_t target = wantedPrefillCount(prefill, available, demand, now);
        if (target != prefill && roundDue)
            round = planChanges(engines, target, 1);
    }
    if (!round.empty())
        m_lastRound = now;
    return round;
}

// An order without a known answer counts until the engine's entry would show the stage, and no
// engine is ordered again before that.
void StagePlanner::forgetOldAssignments(const std::vector<StageView> &engines, core::TimePoint now)
{
    std::erase_if(m_assignments, [&](const auto &entry) {
        const auto engine = std::find_if(engines.begin(), engines.end(),
                                         [&](const StageView &it) { return it.id == entry.first; });
        return engine == engines.end() || engine->bornMs != entry.second.bornMs
            || now - entry.second.at >= m_settings.retryInterval;
    });
}

void StagePlanner::recordRefusedAssignment(const std::string &id)
{
    if (const auto it = m_assignments.find(id); it != m_assignments.end())
        it->second.refused = true;
}

// Returns the engines with the new ones in the stage that they were assigned, as if the change were
// complete: it is not a loss that would justify moving an engine in use.
std::vector<StageView> StagePlanner::withAssignments(std::vector<StageView> engines) const
{
    for (StageView &it : engines) {
        const auto assignment = m_assignments.find(it.id);
        if (it.lost || assignment == m_assignments.end() || assignment->second.refused)
            continue;
        it.prefill = true;
        it.available = true;
    }
    return engines;
}

// Returns how many of the possible changes to prefill the stage needs. The target is a capacity;
// the number of engines stays close to it as well, because speeds are estimates and those of new
// engines are not known.
size_t StagePlanner::newEnginesNeeded(const std::vector<StageView> &engines,
                                      const std::vector<StageChange> &possible, size_t target)
{
    constexpr double maxCountDeviation = 0.1;
    const double minCount = static_cast<double>(target) * (1 - maxCountDeviation);
    const double maxCount = static_cast<double>(target) * (1 + maxCountDeviation);
    double total = 0;
    double capacity = 0;
    double count = 0;
    for (const StageView &it : engines) {
        total += prefillSpeed(it);
        capacity += it.prefill ? prefillSpeed(it) : 0;
        count += it.prefill ? 1 : 0;
    }
    const double wanted = static_cast<double>(target) * total / static_cast<double>(engines.size());
    size_t needed = 0;
    for (const StageChange &change : possible) {
        const auto engine = std::find_if(engines.begin(), engines.end(),
                                         [&](const StageView &it) { return it.id == change.id; });
        const double speed = prefillSpeed(*engine);
        const bool below = wanted - capacity >= speed / 2 && count + 1 <= maxCount;
        if (count >= minCount && !below)
            break;
        ++needed;
        ++count;
        capacity += speed;
    }
    return needed;
}

// Returns whether decode is above its target use and the bottleneck. A new engine is then of more
// use as it is: during a burst of long outputs, prompts wait for slots and not for prefill.
bool StagePlanner::decodeIsShort(const std::vector<StageView> &engines,
                                 const StageDemand &demand) const
{
    const auto prefill = static_cast<double>(std::count_if(
        engines.begin(), engines.end(), [](const StageView &it) { return it.prefill; }));
    const double decode = static_cast<double>(engines.size()) - prefill;
    const double decodeUse = demand.busyDecodeSlots / (std::max(1.0, decode) * demand.slots);
    const double prefillUse =
        demand.promptTokensPerSecond / (std::max(1.0, prefill) * demand.prefillTokensPerSecond);
    return decodeUse > m_settings.targetDecodeUse
        && decodeUse / m_settings.targetDecodeUse > prefillUse / m_settings.targetPrefillUse;
}

// Counts engines that are paused for a moment, as an assignment lasts longer than such a pause.
std::vector<StageChange> StagePlanner::assignNewEngines(const std::vector<StageView> &engines,
                                                        const StageDemand &demand,
                                                        core::TimePoint now)
{
    std::vector<StageView> present = withAssignments(engines);
    std::erase_if(present, [](const StageView &it) { return it.lost; });
    if (present.size() < 2 || decodeIsShort(present, demand))
        return {};
    for (StageView &it : present)
        it.available = it.prefill || it.unused;
    std::vector<StageChange> changes = planChanges(present, present.size(), present.size());
    changes.resize(
        newEnginesNeeded(present, changes, targetPrefillCount(present.size(), demand.slots)));
    for (StageChange &it : changes) {
        it.newEngine = true;
        const auto engine = std::find_if(present.begin(), present.end(),
                                         [&](const StageView &view) { return view.id == it.id; });
        m_assignments.insert_or_assign(it.id, Assignment{engine->bornMs, now});
    }
    return changes;
}

std::vector<StageChange> StagePlanner::planChanges(const std::vector<StageView> &engines,
                                                   size_t target, size_t maxChanges) const
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
        if (it.available && it.prefill != morePrefill && !m_assignments.contains(it.id))
            movable.push_back(&it);
    }
    std::vector<StageChange> result;
    while (result.size() < std::min<size_t>(difference, maxChanges) && !movable.empty()) {
        // Prefer the domain with the fewest prefill engines if more are wanted, else the one with
        // the most, where a much faster engine counts as a difference of some engines; then a slow
        // engine for prefill or a fast one for decode; then the engine with the fewest requests.
        const auto better = [&](const StageView *a, const StageView *b) {
            const int x = prefillByDomain[a->domain] + speedInEngines(*a);
            const int y = prefillByDomain[b->domain] + speedInEngines(*b);
            if (x != y)
                return morePrefill ? x < y : x > y;
            if (const int v = speedClass(*a), w = speedClass(*b); v != w)
                return morePrefill ? v < w : v > w;
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
