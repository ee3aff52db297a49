#pragma once

/** \file
 * Defines the planner of engine roles.
 */

#include "core/work.h"

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
    core::Role role = core::Role::Mixed;
    bool available = false;    ///< Up, not draining and not in the middle of a change.
    uint64_t queuedTokens = 0; ///< Prefill backlog.
    uint64_t outstandingOutput = 0;
    uint32_t running = 0;
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
    core::Milliseconds horizon{60'000};   ///< Time over which a gain is counted.
    core::Milliseconds changeCost{5'000}; ///< Time an engine is away for a change.
    core::Milliseconds settle{10'000};    ///< Least time between two changes of one model.
    core::Milliseconds reversal{90'000};  ///< Least time before an engine changes again.
    core::Milliseconds smoothing{5'000};  ///< Time constant of the forecast.
    double margin = 1.5;                  ///< Gain must exceed the cost by this factor.
    double specialistGain = 0.4;          ///< Extra speed of a specialist in its phase.
    uint32_t minMixed = 1;                ///< Mixed engines kept for each model.
};

/** Decides which engine changes its role, one at a time.
 *
 * The planner smooths the wait that prefill and decode work causes in the fleet. A change is made
 * only when the time it saves over the horizon exceeds the engine-seconds it costs by a margin,
 * so noise causes none. Work of both phases always keeps engines in more than one failure domain
 * where there are as many.
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
        double prefillWait = 0; ///< Smoothed seconds of prefill backlog for each engine.
        double decodeWait = 0;  ///< Smoothed seconds of decode work for each engine.
        core::TimePoint at{};
        core::TimePoint lastChange{};
    };

    std::optional<RoleChange> planModel(const std::string &model,
                                        const std::vector<RoleView> &engines, core::TimePoint now);
    void observe(Forecast &forecast, const std::vector<RoleView> &engines,
                 core::TimePoint now) const;
    bool keepsCoverage(const RoleView &candidate, core::Role role,
                       const std::vector<RoleView> &engines) const;

    RolePlannerSettings m_settings;
    std::map<std::string, Forecast> m_forecasts;
    std::map<std::string, core::TimePoint> m_changedAt;
};

} // namespace jujube::policy
