#pragma once

/** \file
 * Defines the replay of a workload in virtual time against the policy classes of the product.
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

/** Routing to the endpoints in turn. */
struct RoundRobin
{
};
/** Routing to the endpoint with the fewest requests that run, wait or are being sent. */
struct LeastOutstanding
{
};
/** Routing by policy::Router, which predicts the latency on each endpoint. */
struct PredictedLatency
{
    bool prefixAffinity = true; ///< Whether the router sees the prompt's prefix blocks.
};
using Routing = std::variant<RoundRobin, LeastOutstanding, PredictedLatency>;

/** Fixed roles: a third of the engines in each role. */
struct StaticRoles
{
};
/** Fixed roles: all engines are mixed. */
struct AllMixed
{
};
/** Changes one engine's role as soon as the prefill and decode backlogs differ by a factor. */
struct ThresholdRoles
{
    double factor = 2;
};
/** Role changes by policy::RolePlanner. */
struct PlannedRoles
{
    policy::RolePlannerSettings settings;
};
using Roles = std::variant<StaticRoles, AllMixed, ThresholdRoles, PlannedRoles>;

/** A combination of routing, role changes and dispatcher settings. */
struct Policy
{
    std::string name;
    Routing routing;
    Roles roles;
    policy::DispatcherSettings dispatcher;
};

/** Result of one request. */
struct RequestResult
{
    enum class Outcome { Unfinished, Completed, Refused, Expired };
    Outcome outcome = Outcome::Unfinished;
    core::Milliseconds timeToFirstToken{};
    core::Milliseconds timeBetweenTokens{}; ///< Mean over the request.
    core::Milliseconds totalTime{};
    bool metObjectives = false; ///< Completed, with first token and end within the objectives.
};

/** Figures of one interval of the run, for the plot. */
struct IntervalState
{
    core::Milliseconds at{};
    int arrivedRequests = 0;
    int goodRequests = 0;
    double promptTokenShare = 0; ///< Of all tokens of the requests that arrived.
    int prefillEngines = 0;
    int decodeEngines = 0;
    double worstTeamGoodput = 1; ///< As in RunResult.
};

/** Figures of a whole run. */
struct RunResult
{
    std::string policyName;
    std::vector<RequestResult> requests;
    std::vector<IntervalState> intervals;
    int roleChanges = 0;
    double goodput = 0;          ///< Share of requests that met their objectives.
    double worstTeamGoodput = 0; ///< Smallest goodput of any team.
    std::map<std::string, double> goodputByTeam;
    std::map<std::string, double> goodputByProfile;
    core::Milliseconds chatTimeToFirstTokenP95{};
    core::Milliseconds chatTimeBetweenTokensP95{};
};

/** Runs \a workload under \a policy. The same arguments give the same result. */
RunResult simulate(const Workload &workload, const Policy &policy, uint64_t seed);

} // namespace jujube::replay
