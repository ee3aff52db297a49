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

/** One endpoint as a placement sees it. Loads cover all entries, as far as they are known. */
struct PlacementView
{
    std::string_view id;
    std::string_view domain;
    uint32_t slots = 1;
    double running = 0;         ///< Requests there now.
    double backlogTokens = 0;   ///< Prompt tokens sent there and not read yet.
    uint32_t cachedTokens = 0;  ///< Of this request's prompt.
    double slowness = 1;        ///< Observed against expected time.
    bool usable = true;         ///< May be given new work.
    bool probe = false;         ///< Failed lately; gets single requests to test it.
};

struct PromptSize
{
    uint32_t tokens = 0;
    uint64_t affinity = 0; ///< Hash of the last shared part; 0: none.
};

struct PlacementSettings
{
    double prefillTokensPerMs = 60;  ///< Of an engine in the prefill stage, pieces included.
    double selfPrefillShare = 0.35;  ///< Speed of a decode engine that reads a prompt itself.
    core::Milliseconds firstToken{45}; ///< From a prompt that was read to its first token.
    core::Milliseconds handOver{12};   ///< Fetching a prompt that was read elsewhere.
    /** Prompt tokens that count as equal to a cache hit at the part's home engine, where parts go
     * by hash, so that entries that know nothing of each other agree. */
    double homeShare = 0.6;
    double crossDomainPenalty = 0.03; ///< Of an endpoint's slots, when all else is equal.
};

struct PrefillChoice
{
    size_t index = 0;
    uint32_t uncachedTokens = 0;
    core::Milliseconds predicted{}; ///< Until the prompt is read.
};

/** Chooses the engine that is expected to have read the prompt first. */
std::optional<PrefillChoice> choosePrefill(const std::vector<PlacementView> &engines,
                                           const PromptSize &prompt,
                                           const PlacementSettings &settings,
                                           std::mt19937_64 &random);

/** Chooses the endpoint with the smallest share of its slots in use; draws among equal ones. */
std::optional<size_t> chooseRunner(const std::vector<PlacementView> &endpoints,
                                   std::string_view domain, const PlacementSettings &settings,
                                   std::mt19937_64 &random);

/** Expected time to the first token if a decode engine reads the prompt itself. */
core::Milliseconds predictSelfPrefill(const PlacementView &engine, const PromptSize &prompt,
                                      const PlacementSettings &settings);

} // namespace jujube::policy
