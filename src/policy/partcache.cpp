#include "policy/partcache.h"

#include <xxhash.h>

namespace jujube::policy {

void appendPrefixBlock(std::vector<PrefixBlock> &chain, uint64_t partId, uint32_t tokens)
{
    const uint64_t before = chain.empty() ? 0 : chain.back().hash;
    chain.push_back({XXH3_64bits_withSeed(&partId, sizeof(partId), before), tokens});
}

std::vector<PrefixBlock> PrefixCacheModel::record(const std::vector<PrefixBlock> &chain)
{
    std::vector<PrefixBlock> fresh;
    ++m_records;
    // From the end, so that the first parts, which others share, are the most recently used.
    for (auto it = chain.rbegin(); it != chain.rend(); ++it) {
        const auto [part, added] = m_parts.try_emplace(it->hash);
        if (added) {
            m_byUse.push_front(it->hash);
            part->second.tokens = it->tokens;
            m_tokens += it->tokens;
            fresh.push_back(*it);
        } else {
            m_byUse.splice(m_byUse.begin(), m_byUse, part->second.byUse);
        }
        part->second.byUse = m_byUse.begin();
        part->second.usedAt = m_records;
    }
    while (m_tokens > m_maxTokens && !m_byUse.empty()) {
        const auto oldest = m_parts.find(m_byUse.back());
        m_tokens -= oldest->second.tokens;
        m_parts.erase(oldest);
        m_byUse.pop_back();
    }
    return fresh;
}

uint32_t PrefixCacheModel::cachedTokens(const std::vector<PrefixBlock> &chain) const
{
    uint32_t tokens = 0;
    for (const PrefixBlock &link : chain) {
        if (!m_parts.contains(link.hash))
            break;
        tokens += link.tokens;
    }
    return tokens;
}

uint64_t PrefixCacheModel::recordsSinceUse(uint64_t hash) const
{
    const auto it = m_parts.find(hash);
    return it == m_parts.end() ? m_records : m_records - it->second.usedAt;
}

void PrefixCacheModel::clear()
{
    m_tokens = 0;
    m_byUse.clear();
    m_parts.clear();
}

} // namespace jujube::policy
