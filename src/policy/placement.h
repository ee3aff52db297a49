#pragma once

/** \file
 * Defines where a request goes: which engine reads its prompt and which endpoint runs it.
 */

#include "core/clock.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace jujube::policy {

/** One endpoint as a placement sees it. Loads cover all gateways, as far as they are known. */
struct PlacementCandidate
{
    std::string_view id;
    std::string_view domain;
    uint32_t slots = 1;
    double running = 0;           ///< Requests there now.
    double backlogTokens = 0;     ///< Prompt tokens sent there and not read yet.
    uint32_t cachedTokens = 0;    ///< Of this request's prompt.
    double slowness = 1;          ///< Observed against expected time.
    bool isPrefillEngine = false; ///< Reads prompts for others to decode; else it reads its own.
    bool usable = true;           ///< May be given new work.
    bool probe = false;           ///< Failed lately; gets single requests to test it.
};

struct PromptInfo
{
    uint32_t tokens = 0;
    uint64_t prefixHash = 0;      ///< Hash of the last shared part; 0: none.
    uint32_t fetchableTokens = 0; ///< Held by some endpoint that others can fetch them from.
};

/** Time from sending a prompt to its first token, without the wait for what is ahead. */
struct PrefillTimeModel
{
    double tokensPerMs = 1;
    double fixedMs = 0;
};

struct PlacementSettings
{
    // Starting values; both are corrected by what is observed (see ReadPathEstimator).
    PrefillTimeModel disaggregatedPrefill{
        60, 75}; ///< Read by an engine of the prefill stage, then handed over.
    PrefillTimeModel colocatedPrefill{
        18, 45};                   ///< Read by the decoding engine, between tokens of others.
    double prefixFetchMs = 10;     ///< Fetching shared parts from another endpoint.
    uint32_t minFetchTokens = 256; ///< Tokens below which a fetch costs more than reading.
    /** Part of a prompt that is expected to be read already at the home of its shared parts, where
     * homes go by hash, so that gateways that know nothing of each other agree. */
    double preferredCachedShare = 0.4;
    /** Share of an engine's slots in use up to which it reads prompts between the tokens of others:
     * reading doubles the time of a step, so the streams that run there last longer. */
    double maxColocatedSlotUse = 0.15;
    // What crosses a failure domain is paid for by its bytes: the body of a prompt, its cache, and
    // the answer. Both weights are far below the waits that a full engine causes.
    double crossDomainSlotPenalty = 0.15; ///< Of an endpoint's slots, for running elsewhere.
    double crossDomainPrefillMs = 20;     ///< Added to the time of reading elsewhere.
    std::string domain{};                 ///< Of this gateway.
};

struct PrefillChoice
{
    size_t index = 0;
    uint32_t uncachedTokens = 0;
    bool fetch = false;                       ///< Shared parts should be fetched from their holder.
    core::Milliseconds predictedFirstToken{}; ///< Until the first token.
};

/** Chooses the engine by the expected time to the first token, whichever way it is read. */
std::optional<PrefillChoice> choosePrefillEngine(const std::vector<PlacementCandidate> &engines,
                                                 const PromptInfo &prompt,
                                                 const PlacementSettings &settings,
                                                 std::mt19937_64 &random);

/** Chooses the endpoint with the smallest share of its slots in use; draws among equal ones. */
std::optional<size_t> chooseLeastLoadedEndpoint(const std::vector<PlacementCandidate> &endpoints,
                                                std::string_view domain,
                                                const PlacementSettings &settings,
                                                std::mt19937_64 &random);

} // namespace jujube::policy
