#pragma once

/** \file
 * Defines the planner that assigns prefill, decode and mixed roles to engines.
 */

#include "core/work.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jujube::policy {

/** State of one engine that role planning is based on. */
struct RoleView
{
    std::string vm;
    std::string domain;
    std::string model;
    uint32_t minDomains = 1; ///< Failure domains required by the model's profiles.
    core::Role role = core::Role::Mixed;
    bool available = false;    ///< Up, not draining and not changing its role.
    uint64_t queuedTokens = 0; ///< Prefill backlog.
    uint64_t outstandingOutput = 0;
    uint32_t running = 0;
    uint32_t queuedRequests = 0;
    uint32_t slots = 1;
    double prefillRate = 0;
    double decodeRate = 0;
};

/** A role change to order. */
struct RoleChange
{
    std::string vm;
    core::Role role = core::Role::Mixed;
    double gainSeconds = 0; ///< Forecast gain, in engine-seconds over the horizon.
};

struct RolePlannerSettings
{
    core::Milliseconds horizon{60'000}; ///< Time over which the gain of a change is counted.
    /** Time for which a change makes an engine unavailable, including the time to finish its work.
     */
    core::Milliseconds changeCost{10'000};
    /** Least time between two changes of engines of one model. */
    core::Milliseconds changeInterval{30'000};
    core::Milliseconds budgetWindow{180'000}; ///< Window for the limit maxChanges.
    size_t maxChanges = 2; ///< Largest number of changes for one model in a budget window.
    /** Least time between two changes of one engine. */
    core::Milliseconds engineChangeInterval{180'000};
    core::Milliseconds smoothing{30'000};    ///< Time constant of the moving averages.
    core::Milliseconds trendHorizon{40'000}; ///< How far the trend of slot use is extrapolated.
    /** Backlog up to which no phase counts as a bottleneck. */
    core::Milliseconds minBacklogTime{1'000};
    double minGainFactor = 1.5;  ///< Factor by which the gain of a change must exceed its cost.
    double specialistGain = 0.5; ///< Relative speedup of a specialised engine in its phase.
    /** Use of batch slots below which decode has capacity to spare. */
    double decodeSpareSlotUse = 0.6;
    /** Projected use of batch slots above which decode counts as the bottleneck. */
    double decodeBottleneckSlotUse = 0.87;
    /** Least ratio between the backlogs of the bottleneck phase and the other one. */
    double minBacklogRatio = 3;
    uint32_t minMixed = 1; ///< Least number of mixed engines per model.
};

/** Decides which engine changes its role; at most one at a time.
 *
 * The planner keeps moving averages of the prefill and decode backlogs of the fleet. A phase is the
 * bottleneck when its backlog persists and exceeds that of the other phase by a factor, and the
 * other phase has capacity to spare. Only then does a specialised engine gain anything. The gain
 * over the horizon has to exceed the engine-seconds lost by the change by a factor, so that noise
 * causes no change. Mixed engines, which serve both phases, remain in at least two failure
 * domains, or in as many as the model's profiles require, as far as the engines span that many.
 */
class RolePlanner
{
public:
    explicit RolePlanner(RolePlannerSettings settings);

    /** Records the present state and returns the change to make now, if any. */
    std::optional<RoleChange> plan(const std::vector<RoleView> &engines, core::TimePoint now);

private:
    struct DemandAverages
    {
        double prefillBacklogSeconds = 0; ///< Smoothed prefill backlog per engine, in seconds.
        /** Smoothed time that requests wait for a batch slot, in seconds. */
        double slotWaitSeconds = 0;
        double slotUse = 0; ///< Smoothed share of batch slots in use.
        /** The same with a shorter time constant; the difference gives the trend. */
        double slotUseFast = 0;
        core::TimePoint at{};
        core::TimePoint since{};             ///< First observation.
        std::deque<core::TimePoint> changes; ///< Times of the changes in the last budget window.
    };

    std::optional<RoleChange> planModel(const std::string &model,
                                        const std::vector<RoleView> &engines, core::TimePoint now);
    void updateAverages(DemandAverages &averages, const std::vector<RoleView> &engines,
                        core::TimePoint now) const;
    bool mayChange(DemandAverages &averages, core::TimePoint now) const;
    double projectedSlotUse(const DemandAverages &averages) const;
    std::optional<core::Role> bottleneckPhase(const DemandAverages &averages) const;
    bool keepsMixedEngines(const RoleView &candidate, core::Role role,
                           const std::vector<RoleView> &engines) const;

    RolePlannerSettings m_settings;
    std::map<std::string, DemandAverages> m_demandAverages;
    std::map<std::string, core::TimePoint> m_changedAt;
};

} // namespace jujube::policy
