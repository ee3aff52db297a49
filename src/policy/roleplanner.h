#pragma once

/** \file
 * Defines the planner of engine roles.
 */

#include "core/work.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jujube::policy {

/** One engine as the planner sees it. */
struct RoleView
{
    std::string vm;
    std::string domain;
    std::string model;
    uint32_t minDomains = 1; ///< Failure domains that the model's profiles ask for.
    core::Role role = core::Role::Mixed;
    bool available = false;    ///< Up, not draining and not in the middle of a change.
    uint64_t queuedTokens = 0; ///< Prefill backlog.
    uint64_t outstandingOutput = 0;
    uint32_t running = 0;
    uint32_t queuedRequests = 0;
    uint32_t slots = 1;
    double prefillRate = 0;
    double decodeRate = 0;
};

struct RoleChange
{
    std::string vm;
    core::Role role = core::Role::Mixed;
    double gainSeconds = 0; ///< Forecast gain, in engine-seconds over the horizon.
};

struct RolePlannerSettings
{
    core::Milliseconds horizon{60'000};        ///< Time over which a gain is counted.
    core::Milliseconds changeCost{10'000};     ///< Time an engine is away, its last work included.
    core::Milliseconds changeInterval{30'000}; ///< Least time between two changes of one model.
    core::Milliseconds budgetWindow{180'000};  ///< Time in which at most maxChanges are made.
    size_t maxChanges = 2;                     ///< Changes of one model in a budget window.
    core::Milliseconds engineChangeInterval{
        180'000};                             ///< Least time before an engine changes again.
    core::Milliseconds smoothing{30'000};     ///< Time constant of the forecast.
    core::Milliseconds trendHorizon{40'000};  ///< How far the trend of slot use is followed.
    core::Milliseconds minBacklogTime{1'000}; ///< Backlog below which no phase counts as short.
    double minGainFactor = 1.5;               ///< Gain must exceed the cost by this factor.
    double specialistGain = 0.5;              ///< Extra speed of a specialist in its phase.
    double spareSlotUse = 0.6;  ///< Largest use of batch slots at which decode has room to give.
    double shortSlotUse = 0.87; ///< Use of batch slots from which decode counts as short.
    double minBacklogRatio = 3; ///< Backlog of the short phase relative to the other one.
    uint32_t minMixed = 1;      ///< Mixed engines kept for each model.
};

/** Decides which engine changes its role, one at a time.
 *
 * The planner smooths the backlog of prefill and of decode work in the fleet. A phase is short when
 * its backlog lasts, dominates that of the other phase, and the other phase has room to give. Only
 * then does a specialist gain anything; the gain over the horizon has to exceed the engine-seconds
 * of the change by a margin, so noise causes none. Work of both phases always keeps engines in more
 * than one failure domain where there are as many.
 */
class RolePlanner
{
public:
    explicit RolePlanner(RolePlannerSettings settings);

    /** Takes the present state and returns at most one change to make now. */
    std::optional<RoleChange> plan(const std::vector<RoleView> &engines, core::TimePoint now);

private:
    struct Forecast
    {
        double prefillBacklogSeconds = 0; ///< Smoothed seconds of prefill backlog for each engine.
        double slotWaitSeconds = 0;       ///< Smoothed seconds that requests wait for a batch slot.
        double slotUse = 0;               ///< Smoothed share of batch slots in use.
        double slotUseFast = 0; ///< The same over a shorter time; the difference is the trend.
        core::TimePoint at{};
        core::TimePoint since{};             ///< First observation; a trend needs some history.
        std::deque<core::TimePoint> changes; ///< Of the last budget window.
    };

    std::optional<RoleChange> planModel(const std::string &model,
                                        const std::vector<RoleView> &engines, core::TimePoint now);
    void updateForecast(Forecast &forecast, const std::vector<RoleView> &engines,
                        core::TimePoint now) const;
    bool mayChange(Forecast &forecast, core::TimePoint now) const;
    double projectedSlotUse(const Forecast &forecast) const;
    std::optional<core::Role> bottleneckPhase(const Forecast &forecast) const;
    bool keepsMixedEngines(const RoleView &candidate, core::Role role,
                           const std::vector<RoleView> &engines) const;

    RolePlannerSettings m_settings;
    std::map<std::string, Forecast> m_forecasts;
    std::map<std::string, core::TimePoint> m_changedAt;
};

} // namespace jujube::policy
