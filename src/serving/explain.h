#pragma once

/** \file
 * Defines the explanation of a request: where a gateway would send it now, and why.
 */

#include "policy/explainplacement.h"
#include "policy/requestcost.h"
#include "serving/explainquery.h"
#include "serving/session.h"
#include "serving/teamquotas.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace jujube::serving {

/** State of a gateway that an explanation is based on; only read. */
struct ExplainServices
{
    std::string gateway;       ///< Name.
    const FleetConfig *config; ///< Null: none was received yet.
    bool stopping = false;     ///< Accepts no further requests.
    const EndpointTable &endpoints;
    const PromptScheduler &promptScheduler;
    const policy::PlacementSettings &placement;
    const policy::OutputLengthEstimator &outputLengths;
    const QuarantineKeeper &quarantine;
    const TeamQuotas &quotas;
    /** At usual speed, by name of the service. */
    const std::map<std::string, policy::DecodeStepEstimator> &runSteps;
};

/** Answer that the gateway itself would give. */
struct ExplainedRefusal
{
    uint32_t status = 0;
    std::string why;
    core::Milliseconds retryAfter{};
    core::Milliseconds retrySpread{}; ///< A random part of it is added.
};

/** An endpoint of the service, as the placement sees it. */
struct ExplainedCandidate
{
    std::string id;
    std::string domain;
    Stage stage = Stage::None;
    /** Why it gets no new work: draining, paused, back-off, limit, ejected, held, full. An endpoint
     * that is only full is chosen if all others are as well. */
    std::vector<std::string_view> obstacles;
    bool probe = false; ///< Ejected, and a probe is due.
    double running = 0;
    uint32_t slots = 0;
    double backlogTokens = 0;
    uint32_t cachedTokens = 0;
    double slowness = 1;
    double slowdown = 1;
    double pace = 1;
    std::optional<core::Milliseconds> reportAge; ///< Nothing: it has reported no load.
    policy::CandidateFigures figures;
};

/** What a gateway would do with a request now. */
struct Explanation
{
    std::string gateway;
    std::string domain;
    uint64_t configVersion = 0;
    std::string route;
    std::string service;
    std::vector<SplitTarget> targets; ///< Of the route; the service is drawn by their weights.
    std::string team;                 ///< Empty: none.
    uint32_t rank = 0;
    std::optional<TeamQuotas::Preview> quota; ///< Nothing: the team has no quota.
    bool needsPrefill = false; ///< Its prompt goes through the queue; otherwise it is run directly.
    size_t waiting = 0;
    core::Milliseconds expectedWait{};
    uint32_t promptTokens = 0;
    uint32_t fetchableTokens = 0;
    policy::RequestCost cost;
    bool byPace = false; ///< Prefills are predicted by the slowdown and pace of each engine.
    std::vector<ExplainedCandidate> candidates;
    std::optional<policy::PrefillChoice> prefill; ///< Index in candidates.
    bool waits = false;                           ///< The prompt waits in the queue.
    std::string prefillReason;
    std::optional<size_t> run; ///< Index in candidates.
    bool runByWork = false;    ///< Placed by work left.
    std::string runReason;
    std::optional<ExplainedRefusal> refusal;
};

/** Explains a request. Changes no state.
 * \param random copy of the gateway's generator, so that the choices are those of a request that
 * arrives next.
 * \return NotFound if no route matches, Unauthenticated if the route needs a key and the request
 * has none or an unknown one. */
absl::StatusOr<Explanation> explain(const ExplainServices &services, const RequestMetadata &request,
                                    std::mt19937_64 random);

std::string renderExplanationText(const Explanation &explanation);
std::string renderExplanationJson(const Explanation &explanation);

} // namespace jujube::serving
