#pragma once

/** \file
 * Defines the placement of a request: which engine prefills its prompt and which endpoint runs it.
 */

#include "core/clock.h"

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
    /** Prefills prompts that others decode; otherwise only those that it decodes. */
    bool isPrefillEngine = false;
    bool usable = true; ///< Accepts new requests.
    bool probe = false; ///< Ejected and due for a probe request.
    // Of runs, for decode engines.
    double remainingTokens = 0; ///< Output tokens that its streams are expected to produce yet.
    double heldTokens = 0;      ///< KV cache that its requests hold, in tokens.
    double unstatedRunning = 0; ///< Part of running that remainingTokens does not include.
};

/** Memory that a request needs on the engine that decodes it. */
struct CacheDemand
{
    double heldTokens = 0;  ///< KV cache that the request will hold, in tokens.
    double cacheTokens = 0; ///< Size of an engine's KV cache; 0: not stated, no limit.
};

/** Properties of a prompt that its placement depends on. */
struct PromptInfo
{
    uint32_t tokens = 0;
    uint64_t prefixHash = 0; ///< Hash of the last block that is shared with other prompts; 0: none.
    uint32_t fetchableTokens = 0; ///< Tokens held by some endpoint that others can fetch them from.
    CacheDemand cache{};          ///< Of the whole request, if its prefill engine also decodes it.
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
    // Initial values; both are updated from observed requests by PrefillTimeEstimator.
    /** On a prefill engine, whose cache is then handed over. */
    PrefillTimeModel disaggregatedPrefill{60, 75};
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
};

/** Engine chosen to prefill a prompt. */
struct PrefillChoice
{
    size_t index = 0;
    uint32_t uncachedTokens = 0;
    bool fetch = false; ///< Whether to fetch cached prefix blocks from another endpoint.
    core::Milliseconds predictedFirstToken{}; ///< Time from sending the prompt.
};

/** Chooses the engine with the lowest predicted time to the first token, among prefill engines and
 * decode engines that prefill the prompt themselves. Returns nothing if no engine is usable. */
std::optional<PrefillChoice> choosePrefillEngine(const std::vector<PlacementCandidate> &engines,
                                                 const PromptInfo &prompt,
                                                 const PlacementSettings &settings,
                                                 std::mt19937_64 &random);

/** Chooses the endpoint of a service without engines that has the smallest share of its slots in
 * use, at random among nearly equal ones (for engines, see chooseDecodeEngine()). Returns nothing
 * if no endpoint is usable. */
std::optional<size_t> chooseLeastLoadedEndpoint(const std::vector<PlacementCandidate> &endpoints,
                                                std::string_view domain,
                                                const PlacementSettings &settings,
                                                std::mt19937_64 &random);

} // namespace jujube::policy
