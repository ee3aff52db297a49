#include "policy/prefixindex.h"

#include <xxhash.h>

namespace jujube::policy {

namespace {

constexpr size_t BytesPerToken = 4;

} // namespace

std::vector<uint64_t> prefixBlocks(std::string_view prompt)
{
    std::vector<uint64_t> blocks;
    constexpr size_t blockBytes = core::PrefixBlockTokens * BytesPerToken;
    uint64_t chain = 0;
    for (size_t at = 0; at + blockBytes <= prompt.size(); at += blockBytes) {
        chain = XXH64(prompt.data() + at, blockBytes, chain);
        blocks.push_back(chain);
    }
    return blocks;
}

PrefixIndex::PrefixIndex(size_t maxBlocksPerEndpoint) : m_maxBlocks(maxBlocksPerEndpoint)
{
}

void PrefixIndex::record(const std::string &vm, const std::vector<uint64_t> &blocks)
{
    EndpointBlocks &endpoint = m_endpoints[vm];
    // Later blocks first, so that the start of a prefix is evicted last.
    for (auto it = blocks.rbegin(); it != blocks.rend(); ++it) {
        const auto known = endpoint.index.find(*it);
        if (known != endpoint.index.end()) {
            endpoint.byUse.splice(endpoint.byUse.begin(), endpoint.byUse, known->second);
            continue;
        }
        endpoint.byUse.push_front(*it);
        endpoint.index[*it] = endpoint.byUse.begin();
    }
    while (endpoint.byUse.size() > m_maxBlocks) {
        endpoint.index.erase(endpoint.byUse.back());
        endpoint.byUse.pop_back();
    }
}

uint32_t PrefixIndex::cachedTokens(const std::string &vm, const std::vector<uint64_t> &blocks) const
{
    const auto endpoint = m_endpoints.find(vm);
    if (endpoint == m_endpoints.end())
        return 0;
    uint32_t cached = 0;
    for (const uint64_t block : blocks) {
        if (!endpoint->second.index.contains(block))
            break;
        cached += core::PrefixBlockTokens;
    }
    return cached;
}

void PrefixIndex::forget(const std::string &vm)
{
    m_endpoints.erase(vm);
}

} // namespace jujube::policy
