#pragma once

/** \file
 * Defines the choice of the engine that decodes a request, by the expected time to produce its
 * tokens and by the memory that engines have left.
 */

#include "policy/decodestepestimator.h"
#include "policy/placement.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string_view>
#include <vector>

namespace jujube::policy {

/** A stream whose answer is longer than expected counts with this many tokens left. */
inline constexpr uint32_t MinRemainingTokens = 4;

/** Load that a request puts on the engine that decodes it. */
struct DecodeLoad
{
    uint32_t remainingTokens = 0; ///< Output tokens that it is expected to produce yet.
    uint32_t heldTokens = 0;      ///< KV cache for its prompt and output, in whole blocks.
};

/** Returns the load of a request that has produced some of its output. */
DecodeLoad decodeLoadOf(uint32_t promptTokens, double expectedOutputTokens,
                        uint64_t producedTokens);

/** Rounds a number of tokens up to whole blocks of the KV cache. */
uint32_t wholeCacheBlocks(uint64_t tokens);

/** Returns whether a prompt and its first output token exceed the KV cache of an engine.
 * \param cacheTokens size of the KV cache; 0: not stated. */
bool exceedsCache(uint32_t promptTokens, uint64_t cacheTokens);

/** Room in an engine's KV cache up to its limit; infinite if no cache size is stated. */
double cacheRoom(const PlacementCandidate &engine, const CacheDemand &demand);

/** Returns the room that a decode engine needs to be chosen for a request: that of the request, or,
 * if no usable decode engine has it, about that of the one with the most room. */
double requiredCacheRoom(const std::vector<PlacementCandidate> &engines, const CacheDemand &demand);

/** A request to be decoded. */
struct DecodeDemand
{
    double outputTokens = 0; ///< Expected number of tokens that it has yet to produce.
    CacheDemand cache;
};

/** Engine chosen to decode a request. */
struct DecodeChoice
{
    size_t index = 0;
    double expectedMs = 0; ///< Time to produce the output, with the wait for a slot.
    bool hasRoom = true;   ///< False: no engine has room in its KV cache for the request.
};

/** Chooses the decode engine with the least expected time to produce the tokens of a request.
 *
 * Load figures are up to 100 ms old, and other gateways decide by the same ones. The choice is
 * therefore random among the engines that would still have the least time after the streams of all
 * gateways within that age.
 *
 * \param domain failure domain that holds the request's prompt.
 * \return nothing if no engine is usable.
 */
std::optional<DecodeChoice> chooseDecodeEngine(const std::vector<PlacementCandidate> &engines,
                                               const DecodeDemand &demand, std::string_view domain,
                                               const PlacementSettings &settings,
                                               const DecodeStepEstimator &steps,
                                               std::mt19937_64 &random);

} // namespace jujube::policy
