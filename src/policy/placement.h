#pragma once

/** \file
 * Defines the placement of a request: which engine prefills its prompt and which endpoint runs it.
 */

#include "core/clock.h"
#include "policy/decodebacklog.h"
#include "policy/prefilldurationestimator.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace jujube::policy {

/** State of one endpoint that a placement is based on. Its load includes the requests of all
 * gateways, as far as they are known. */
struct PlacementCandidate
{
    std::string_view id;
    std::string_view domain;
    uint32_t slots = 1;
    double running = 0;        ///< Number of active requests.
    double backlogTokens = 0;  ///< Prompt tokens sent to it that await prefill.
    uint32_t cachedTokens = 0; ///< Tokens of this request's prompt in its cache.
    double slowness = 1;       ///< Ratio of observed to expected duration of requests.
    /** Learned factor on the duration of prefills (EngineSlowdown); nothing without evidence. */
    std::optional<double> slowdown{};
    double pace = 1;      ///< Factor on the duration of work by the endpoint's reports.
    double usualPace = 1; ///< Low quantile of the reported paces.
    /** Prefills prompts that others decode; otherwise only those that it decodes. */
    bool isPrefillEngine = false;
    bool usable = true;         ///< Accepts new requests.
    bool probe = false;         ///< Ejected and due for a probe request.
    bool held = false;          ///< Has just registered and may be assigned another stage shortly.
    double remainingTokens = 0; ///< Output tokens that its streams still have to produce.
    /** Requests that the endpoint itself states, waiting ones included. The excess over running
     * fades with the age of the report. */
    double reported = 0;
    bool reportsWaiting = false; ///< States that requests wait for a slot.
};

/** Properties of a prompt that its placement depends on. */
struct PromptInfo
{
    uint32_t tokens = 0;
    uint64_t prefixHash = 0; ///< Hash of the last block that is shared with other prompts; 0: none.
    uint32_t fetchableTokens = 0; ///< Tokens held by some endpoint that others can fetch them from.
    uint32_t priority = 0;        ///< At the engine; 0 is served first.
};

/** Linear model of the time from sending a prompt to its first token, without the wait for prompts
 * ahead of it: fixedMs + tokens / tokensPerMs. */
struct PrefillTimeModel
{
    double tokensPerMs = 1;
    double fixedMs = 0;
};

struct PlacementSettings
{
    /** Whether prefills are predicted by the slowdown and pace of each engine. A gateway sets it
     * once an endpoint has stated a pace. Without paces, learned slowdowns alone measured slightly
     * worse than one smoothed ratio (docs/POLICY.md). */
    bool predictsByPace = true;
    /** Whether endpoints that accept no connection, or at whose address another instance answers,
     * get no further work. */
    bool avoidsUnreachable = false;
    // Initial values, which are updated from observed requests.
    /** Time to the first token through a prefill engine, if predictsByPace is not set. */
    PrefillTimeModel disaggregatedPrefill{60, 75};
    PrefillDurationModel prefill; ///< On a prefill engine of usual speed.
    /** From the end of a prefill on a prefill engine to the first token of the decode engine. */
    PrefillTimeModel handOver{500, 50};
    /** On the decode engine, between tokens of other requests. */
    PrefillTimeModel colocatedPrefill{18, 45};
    double prefixFetchMs = 10; ///< Time to fetch cached prefix blocks from another endpoint.
    /** A fetch that saves fewer tokens costs more than their prefill. */
    uint32_t minFetchTokens = 256;
    /** Share of a prompt that is expected to be cached already by the preferred engine of its
     * prefix. The preferred engine is chosen by a hash, so that gateways agree on it without
     * communication. */
    double preferredCachedShare = 0.4;
    /** Share of a decode engine's slots in use up to which it prefills prompts itself. A prefill
     * between the tokens of other requests doubles the step time, so their streams take longer. */
    double maxColocatedSlotUse = 0.15;
    // Traffic between failure domains is charged by the byte: the body of a prompt, its cache and
    // the answer. Both penalties are far below the wait that a full engine causes.
    /** Share of slots added for an endpoint in another domain. */
    double crossDomainSlotPenalty = 0.15;
    double crossDomainPrefillMs = 20; ///< Time added for a prefill in another domain.
    std::string domain{};             ///< Failure domain of this gateway.
    uint32_t gateways = 1;            ///< That send prompts to the same engines.
};

/** Engine chosen to prefill a prompt. */
struct PrefillChoice
{
    size_t index = 0;
    uint32_t uncachedTokens = 0;
    double expectedTokens = 0; ///< Tokens that the engine is expected to prefill.
    bool fetch = false;        ///< Whether to fetch cached prefix blocks from another endpoint.
    core::Milliseconds predictedFirstToken{}; ///< Time from sending the prompt.
    core::Milliseconds predictedPrefill{};    ///< Time to the answer of a prefill engine.
    bool byPace = true;                       ///< PlacementSettings::predictsByPace of the choice.
    double slowdown = 1; ///< Factor by which this engine takes longer, without its pace.
    double pace = 1;     ///< Factor of its reported pace.
};

/** What a placement predicts for the prefill of a prompt at one engine. */
struct PrefillScore
{
    double missingTokens = 0;  ///< Tokens that neither its cache nor a fetch provides.
    double expectedTokens = 0; ///< Tokens that it is expected to prefill.
    bool fetch = false;        ///< Whether to fetch cached prefix blocks from another endpoint.
    double prefillMs = 0;      ///< Until it has prefilled the prompt.
    double restMs = 0;         ///< From then to the first token.
    double crossDomainMs = 0;  ///< Penalty for another failure domain.
    /** A random part in [0, spread) is added to ms(), so that gateways that decide on the same
     * figures do not all choose the same engine. */
    double spread = 0;

    double ms() const { return prefillMs + restMs + crossDomainMs; }
};

/** What the choice of an endpoint for a run is based on. */
struct RunScore
{
    /** Share of its slots in use, with this run, its slowness and its failure domain. */
    double share = 0;
    double spread = 0; ///< A random part in [0, spread) is added to the share.
};

/** Returns the engine that is preferred for the first prefill of a prompt's prefix, if any. */
std::optional<size_t> preferredEngine(const std::vector<PlacementCandidate> &engines,
                                      const PromptInfo &prompt);

/** Whether an engine is considered for the prefill of a prompt. */
bool mayPrefill(const PlacementCandidate &engine, const PlacementSettings &settings);

/** Predicts the prefill of a prompt at an engine. The lowest ms() is chosen. */
PrefillScore scorePrefill(const PlacementCandidate &engine, const PromptInfo &prompt,
                          bool isPreferred, const PlacementSettings &settings);

/** Scores an endpoint for a run. The lowest share is chosen.
 * \param domain from which the run is sent. */
RunScore scoreRun(const PlacementCandidate &endpoint, std::string_view domain,
                  const PlacementSettings &settings);

/** Factor by which a prefill on a prefill engine takes longer than usual at this moment; limited,
 * so that wrong figures never take an engine out of use. */
double prefillFactor(const PlacementCandidate &engine);

/** Factor by which a run on an endpoint takes longer than usual at this moment. */
double runFactor(const PlacementCandidate &endpoint);

/** Chooses the engine with the lowest predicted time to the first token, among prefill engines and
 * decode engines that prefill the prompt themselves. Returns nothing if no engine is usable. */
std::optional<PrefillChoice> choosePrefillEngine(const std::vector<PlacementCandidate> &engines,
                                                 const PromptInfo &prompt,
                                                 const PlacementSettings &settings,
                                                 std::mt19937_64 &random);

/** Chooses the endpoint with the smallest share of its slots in use, at random among nearly equal
 * ones. Returns nothing if no endpoint is usable. */
std::optional<size_t> chooseLeastLoadedEndpoint(const std::vector<PlacementCandidate> &endpoints,
                                                std::string_view domain,
                                                const PlacementSettings &settings,
                                                std::mt19937_64 &random);

/** How likely a run gets a slot at once; the lower one is preferred whatever the time. */
enum class RunRoom { Free, LastSlots, NoFreeSlot };

/** What the choice of an endpoint by work left is based on. */
struct WorkScore
{
    RunRoom room = RunRoom::Free;
    double finishMs = 0;       ///< From the send to the end of the run.
    double workLeftTokens = 0; ///< Of the streams at the endpoint.
    double ms = 0;             ///< finishMs with the penalty for another failure domain.
    double spread = 0;         ///< A random part in [0, spread) is added to ms.
};

/** Endpoint chosen for a run. */
struct RunChoice
{
    std::optional<size_t> index;       ///< Nothing: no endpoint is usable.
    core::Milliseconds expectedTime{}; ///< From the send to the end of the run; 0: not predicted.
    double workLeftTokens = 0;         ///< Of the streams at the endpoint.
};

/** Mean tokens left of a stream over all endpoints, for those that do not state it.
 * \param outputTokens expected output of the run to be placed. */
double usualRemainingTokens(const std::vector<PlacementCandidate> &endpoints, double outputTokens);

/** Scores an endpoint for a run by the work that it has left. Among the endpoints with the best
 * room, the lowest ms is chosen.
 * \param usualRemaining result of usualRemainingTokens().
 * \param domain from which the run is sent. */
WorkScore scoreRunByWork(const PlacementCandidate &endpoint, double outputTokens,
                         double usualRemaining, std::string_view domain,
                         const DecodeStepEstimator &steps, const PlacementSettings &settings);

/** Chooses the endpoint at which a run ends soonest, among those with the best room. If all seem
 * full, or if predictsByPace is not set, chooseLeastLoadedEndpoint() decides. */
RunChoice chooseRunner(const std::vector<PlacementCandidate> &endpoints, double outputTokens,
                       std::string_view domain, const DecodeStepEstimator &steps,
                       const PlacementSettings &settings, std::mt19937_64 &random);

/** Marks the held endpoints as unusable, unless no other decode engine has a free slot. */
void applyHolds(std::vector<PlacementCandidate> &endpoints);

} // namespace jujube::policy
