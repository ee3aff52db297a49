#pragma once

/** \file
 * Defines the estimate of which prompt parts an engine holds in its cache.
 */

#include "core/clock.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace jujube::policy {

/** A part of a prompt as a link of a chain: equal links mean equal prompts up to that part. */
struct PrefixBlock
{
    uint64_t hash = 0;
    uint32_t tokens = 0;
};

/** Appends a part to a chain. */
void appendPrefixBlock(std::vector<PrefixBlock> &chain, uint64_t blockId, uint32_t tokens);

/** Remembers what one engine was sent, least recently used parts first to leave.
 *
 * An engine reads a part again unless it holds that part and all parts before it. A wrong estimate
 * costs one misprediction.
 */
class PrefixCacheModel
{
public:
    explicit PrefixCacheModel(uint64_t maxTokens) : m_maxTokens(maxTokens) { }

    /** \return the links that were not held before. */
    std::vector<PrefixBlock> record(const std::vector<PrefixBlock> &chain);
    /** Tokens at the start of the prompt that the engine is expected to hold. */
    uint32_t cachedTokens(const std::vector<PrefixBlock> &chain) const;
    /** Number of records since the last one with the given part; a part in recent use is more
     * likely to be still there. */
    uint64_t recordsSinceUse(uint64_t hash) const;
    void clear();

private:
    struct Block
    {
        uint32_t tokens = 0;
        uint64_t lastUse = 0; ///< Count of records at its last use.
        std::list<uint64_t>::iterator lruPosition;
    };

    uint64_t m_maxTokens;
    uint64_t m_tokens = 0;
    uint64_t m_recordCount = 0;
    std::list<uint64_t> m_lru; ///< Most recently used first.
    std::unordered_map<uint64_t, Block> m_blocks;
};

} // namespace jujube::policy
