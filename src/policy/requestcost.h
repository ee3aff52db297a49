#pragma once

/** \file
 * Defines the cost of a request: the work and the memory that it needs at engines.
 */

#include <cstdint>

namespace jujube::policy {

/** Work and memory that a request needs, in tokens. */
struct RequestCost
{
    /** \param cachedTokens tokens of the prompt that the engine holds or can fetch. */
    static RequestCost of(uint32_t promptTokens, uint32_t cachedTokens,
                          double expectedOutputTokens);

    uint32_t prefillTokens = 0; ///< Prompt tokens that no cache holds.
    double outputTokens = 0;    ///< Tokens to generate.
    uint64_t memoryTokens = 0;  ///< KV cache that it takes, in whole blocks.
};

} // namespace jujube::policy
