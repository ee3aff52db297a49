/** \file
 * Answers queries about the peers of a gateway.
 */

#include "serving/peermesh.h"

#include <algorithm>

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;

constexpr Milliseconds RetryBudgetLookback{15'000}; ///< Longer than the window of a budget.

} // namespace

std::vector<HubCandidate> PeerMesh::candidates() const
{
    std::vector<HubCandidate> candidates{{m_name, m_processorShare, true}};
    for (const auto &[name, peer] : m_peers)
        candidates.push_back({name, peer.gossip.processorShare, peer.alive});
    return candidates;
}

uint32_t PeerMesh::aliveCount() const
{
    return 1
        + static_cast<uint32_t>(std::count_if(m_peers.begin(), m_peers.end(),
                                              [](const auto &it) { return it.second.alive; }));
}

StoreVersion PeerMesh::newestVersion() const
{
    StoreVersion newest;
    for (const auto &[name, peer] : m_peers) {
        if (peer.alive)
            newest = std::max(newest, peer.gossip.storeVersion);
    }
    return newest;
}

TokenRates PeerMesh::peersRates() const
{
    if (isLarge())
        return m_summaryRates;
    TokenRates sum;
    for (const auto &[name, peer] : m_peers) {
        if (peer.alive)
            sum += peer.gossip.rates;
    }
    return sum;
}

double PeerMesh::meanPrefillTokensPerSecond(double local) const
{
    double sum = local;
    int n = local > 0 ? 1 : 0;
    for (const auto &[name, peer] : m_peers) {
        if (!peer.alive || peer.gossip.prefillTokensPerSecond <= 0)
            continue;
        sum += peer.gossip.prefillTokensPerSecond;
        ++n;
    }
    return n == 0 ? 0 : sum / n;
}

uint32_t PeerMesh::gatewayCount(TimePoint now) const
{
    return 1
        + static_cast<uint32_t>(
               std::count_if(m_peers.begin(), m_peers.end(), [now](const auto &it) {
                   return it.second.receivedAt != TimePoint{}
                   && now - it.second.receivedAt < RetryBudgetLookback;
               }));
}

bool PeerMesh::runAlive(uint64_t run) const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [run](const auto &it) {
        return it.second.alive && it.second.gossip.run == run;
    });
}

std::vector<FeedPeer> PeerMesh::statePeers() const
{
    std::vector<FeedPeer> peers;
    for (const auto &[name, peer] : m_peers) {
        if (peer.alive)
            peers.push_back(
                {name, peer.address, peer.gossip.storeVersion, peer.gossip.watchesStore});
    }
    return peers;
}

bool PeerMesh::watchesForOthers() const
{
    return !isLarge() || serving::watchesForOthers(m_name, m_hub, candidates());
}

} // namespace jujube::serving
