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

/** Records which prefix blocks were sent to which endpoint.
 *
 * Endpoints publish cache events late and with gaps, so the index is a bounded estimate: blocks are
 * added when a prompt is sent, and removed in LRU order or when an endpoint restarts. A wrong entry
 * only costs one misprediction.
 */
class PrefixIndex
{
public:
    explicit PrefixIndex(size_t maxBlocksPerEndpoint);

    /** Records that an endpoint was sent these blocks. */
    void record(const std::string &vm, const std::vector<uint64_t> &blocks);
    /** Returns the number of tokens at the start of the prompt that the endpoint is expected to
     * hold. */
    uint32_t cachedTokens(const std::string &vm, const std::vector<uint64_t> &blocks) const;
    /** Removes all blocks of an endpoint, for example after its engine restarted or changed its
     * role. */
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
