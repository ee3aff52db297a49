#include "serving/prefixblockgossip.h"

namespace jujube::serving {

namespace {

// A block is published in several datagrams, as some get lost.
constexpr core::Milliseconds ResendTime{60};
// Bounds the size of a datagram. A block that is left out at a cold start becomes known by the next
// request that contains it.
constexpr size_t MaxBlocksPerMessage = 48;

} // namespace

void PrefixBlockGossip::recordSent(Endpoint &endpoint, const std::vector<policy::PrefixLink> &chain,
                                   core::TimePoint now)
{
    for (const policy::PrefixLink &link : endpoint.prefixCache.record(chain)) {
        if (link.hash != chain.back().hash)
            m_items.push_back({{endpoint.hash, link}, now + ResendTime});
    }
}

std::vector<GossipPrefixBlock> PrefixBlockGossip::blocksToSend(core::TimePoint now)
{
    while (!m_items.empty() && m_items.front().sendUntil < now)
        m_items.pop_front();
    std::vector<GossipPrefixBlock> blocks;
    for (auto it = m_items.rbegin(); it != m_items.rend() && blocks.size() < MaxBlocksPerMessage;
         ++it)
        blocks.push_back(it->block);
    return blocks;
}

} // namespace jujube::serving
