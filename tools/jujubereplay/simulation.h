#pragma once

/** \file
 * Defines the replay of a workload against the decision objects in virtual time.
 */

#include "jujubereplay/enginemodel.h"
#include "jujubereplay/workload.h"
#include "policy/dispatcher.h"
#include "policy/roleplanner.h"
#include "policy/router.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace jujube::replay {

/** The next endpoint in turn. */
struct RoundRobin
{
};
/** The endpoint with the fewest requests. */
struct LeastOutstanding
{
};
/** The product's router. */
struct PredictedLatency
{
    bool prefixAffinity = true;
};
using Routing = std::variant<RoundRobin, LeastOutstanding, PredictedLatency>;

/** Roles stay as they are: a third of the engines in each. */
struct StaticRoles
{
};
/** All engines stay mixed. */
struct AllMixed
{
};
/** An engine changes as soon as the queues differ by a factor. */
struct ThresholdRoles
{
    double factor = 2;
};
/** The product's planner. */
struct PlannedRoles
{
    policy::RolePlannerSettings settings;
};
using Roles = std::variant<StaticRoles, AllMixed, ThresholdRoles, PlannedRoles>;

/** One way to run the fleet. */
struct Policy
{
    std::string name;
    Routing routing;
    Roles roles;
    policy::DispatcherSettings dispatcher;
};

/** What became of one request. */
struct RequestResult
{
    enum class Outcome { Unfinished, Completed, Refused, Expired };
    Outcome outcome = Outcome::Unfinished;
    core::Milliseconds timeToFirstToken{};
    core::Milliseconds timeBetweenTokens{};
    core::Milliseconds totalTime{};
    bool metObjectives = false; ///< Whole, and within the profile's objectives.
};

/** State of the fleet in one interval of the run, for the plot. */
struct IntervalState
{
    core::Milliseconds at{};
    int arrivedRequests = 0;
    int goodRequests = 0;
    double promptTokenShare = 0;
    int prefillEngines = 0;
    int decodeEngines = 0;
    double worstTeamGoodput = 1;
};

/** The outcome of a run. */
struct RunResult
{
    std::string policyName;
    std::vector<RequestResult> requests;
    std::vector<IntervalState> intervals;
    int roleChanges = 0;
    double goodput = 0;   ///< Share of requests that were good.
    double worstTeamGoodput = 0; ///< Smallest share of good requests among the teams.
    std::map<std::string, double> goodputByTeam;
    std::map<std::string, double> goodputByProfile;
    core::Milliseconds chatTimeToFirstTokenP95{};
    core::Milliseconds chatTimeBetweenTokensP95{};
};

/** Runs a workload. The same workload, policy and seed give the same result. */
RunResult simulate(const Workload &workload, const Policy &policy, uint64_t seed);

} // namespace jujube::replay
