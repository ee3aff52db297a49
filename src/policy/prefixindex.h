#pragma once

/** \file
 * Defines the index of prompt prefixes that endpoints are expected to hold in their caches.
 */

#include "core/work.h"

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jujube::policy {

/** Chained hashes of a prompt's blocks: equal hashes mean equal text up to that block's end. */
std::vector<uint64_t> prefixBlocks(std::string_view prompt);

/** Remembers which endpoint was last sent which prefix block.
 *
 * Endpoints publish cache events late and with gaps, so the index is a bounded estimate: blocks
 * enter when a prompt is sent, and leave by age of use or when an endpoint restarts. A wrong entry
 * costs one misprediction and nothing else.
 */
class PrefixIndex
{
public:
    explicit PrefixIndex(size_t maxBlocksPerEndpoint);

    /** Records that an endpoint was sent these blocks. */
    void record(const std::string &vm, const std::vector<uint64_t> &blocks);
    /** Tokens at the start of the prompt that the endpoint is expected to hold. */
    uint32_t cachedTokens(const std::string &vm, const std::vector<uint64_t> &blocks) const;
    /** Forgets an endpoint, for example after its engine restarted or changed its role. */
    void forget(const std::string &vm);

private:
    struct EndpointBlocks
    {
        std::list<uint64_t> byUse; ///< Most recently used first.
        std::unordered_map<uint64_t, std::list<uint64_t>::iterator> index;
    };

    size_t m_maxBlocks;
    std::unordered_map<std::string, EndpointBlocks> m_endpoints;
};

} // namespace jujube::policy
