#pragma once

/** \file
 * Defines the cost of a request: the work and the memory that it needs at engines.
 */

#include <cstdint>
#include <optional>

namespace jujube::policy {

/** Work and memory that a request needs, in tokens. */
struct RequestCost
{
    /** \param cachedTokens tokens of the prompt that the engine holds or can fetch. */
    static RequestCost of(uint32_t promptTokens, uint32_t cachedTokens,
                          double expectedOutputTokens);

    /** Engine time in ms: that of the prefill, and the part of a full batch's decode steps.
     * \param fullStepMs duration of a decode step if all \a slots of the engine are in use. */
    double engineTime(double prefillTokensPerMs, double fullStepMs, uint32_t slots) const;

    uint32_t prefillTokens = 0; ///< Prompt tokens that no cache holds.
    double outputTokens = 0;    ///< Tokens to generate.
    uint64_t memoryTokens = 0;  ///< KV cache that it takes, in whole blocks.
};

/** Tokens that the requests at an engine may hold together.
 * \param cacheTokens size of the engine's memory; 0: not stated.
 * \return nothing if the size is not stated. */
std::optional<uint64_t> usableMemoryTokens(uint64_t cacheTokens);

/** Whether a request needs more memory than an engine has, so that it can never run. */
bool exceedsEngineMemory(const RequestCost &cost, uint64_t cacheTokens);

} // namespace jujube::policy
