#pragma once

/** \file
 * Defines the estimate of which prefix blocks an engine holds in its cache.
 */

#include "core/clock.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace jujube::policy {

/** A block of a prompt. Its hash covers all blocks before it, so equal hashes mean equal prompts up
 * to the end of the block. */
struct PrefixLink
{
    uint64_t hash = 0;
    uint32_t tokens = 0;
};

/** Appends a block to the chain of a prompt.
 * \param blockId id of the content of the block alone. */
void appendPrefixLink(std::vector<PrefixLink> &chain, uint64_t blockId, uint32_t tokens);

/** Estimates the prefix cache of one engine from the prompts sent to it, with LRU eviction.
 *
 * An engine reuses a block only if it holds all blocks before it as well. A wrong estimate costs
 * one misprediction.
 */
class PrefixCacheModel
{
public:
    explicit PrefixCacheModel(uint64_t maxTokens) : m_maxTokens(maxTokens) { }

    /** Records that the engine was sent this prompt.
     * \return the blocks that were not held before. */
    std::vector<PrefixLink> record(const std::vector<PrefixLink> &chain);
    /** Returns the number of tokens at the start of the prompt that the engine is expected to hold.
     */
    uint32_t cachedTokens(const std::vector<PrefixLink> &chain) const;
    /** Returns the number of prompts recorded since the last one with the given block. The smaller
     * it is, the more likely the block is still cached. */
    uint64_t recordsSinceUse(uint64_t hash) const;
    void clear();

private:
    struct Block
    {
        uint32_t tokens = 0;
        uint64_t lastUse = 0; ///< Value of m_recordCount at its last use.
        std::list<uint64_t>::iterator lruPosition;
    };

    uint64_t m_maxTokens;
    uint64_t m_tokens = 0;
    uint64_t m_recordCount = 0;
    std::list<uint64_t> m_lru; ///< Most recently used first.
    std::unordered_map<uint64_t, Block> m_blocks;
};

} // namespace jujube::policy
