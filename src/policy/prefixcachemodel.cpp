#include "policy/prefixcachemodel.h"

#include <xxhash.h>

namespace jujube::policy {

void appendPrefixLink(std::vector<PrefixLink> &chain, uint64_t blockId, uint32_t tokens)
{
    const uint64_t previousHash = chain.empty() ? 0 : chain.back().hash;
    chain.push_back({XXH3_64bits_withSeed(&blockId, sizeof(blockId), previousHash), tokens});
}

std::vector<PrefixLink> PrefixCacheModel::record(const std::vector<PrefixLink> &chain)
{
    std::vector<PrefixLink> newBlocks;
    ++m_recordCount;
    // In reverse order, so that the first blocks, which other prompts share, become the most
    // recently used ones.
    for (auto it = chain.rbegin(); it != chain.rend(); ++it) {
        const auto [entry, added] = m_blocks.try_emplace(it->hash);
        if (added) {
            m_lru.push_front(it->hash);
            entry->second.tokens = it->tokens;
            m_tokens += it->tokens;
            newBlocks.push_back(*it);
        } else {
            m_lru.splice(m_lru.begin(), m_lru, entry->second.lruPosition);
        }
        entry->second.lruPosition = m_lru.begin();
        entry->second.lastUse = m_recordCount;
    }
    while (m_tokens > m_maxTokens && !m_lru.empty()) {
        const auto oldest = m_blocks.find(m_lru.back());
        m_tokens -= oldest->second.tokens;
        m_blocks.erase(oldest);
        m_lru.pop_back();
    }
    return newBlocks;
}

uint32_t PrefixCacheModel::cachedTokens(const std::vector<PrefixLink> &chain) const
{
    uint32_t tokens = 0;
    for (const PrefixLink &block : chain) {
        if (!m_blocks.contains(block.hash))
            break;
        tokens += block.tokens;
    }
    return tokens;
}

uint64_t PrefixCacheModel::recordsSinceUse(uint64_t hash) const
{
    const auto it = m_blocks.find(hash);
    return it == m_blocks.end() ? m_recordCount : m_recordCount - it->second.lastUse;
}

void PrefixCacheModel::clear()
{
    m_tokens = 0;
    m_lru.clear();
    m_blocks.clear();
}

} // namespace jujube::policy
