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
// A gateway that restarts or is cut off for a short time keeps its share of limits.
constexpr Milliseconds MembershipLookback{4'000};
// Gateways with less than this part of the mean rate of requests, such as those that drain, leave
// their share of limits to others.
constexpr double MinActivity = 0.25;

// Before the first messages of its peers, each gateway that starts would consider itself the
// coordinator. The paces have to be known when the leader splits the engines, 1.4 s after the
// start.
constexpr Milliseconds CoordinatorDelay{600};

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

// A gateway that has just started, or hears few of its peers, counts all that are registered: each
// of them uses its part of the budgets, heard or not.
uint32_t PeerMesh::budgetGateways(TimePoint now) const
{
    const uint32_t live = gatewayCount(now);
    const auto registered = static_cast<uint32_t>(m_peers.size()) + 1;
    const bool starting = now - m_startedAt < RetryBudgetLookback;
    return starting || live * 2 < registered ? registered : live;
}

std::vector<std::string> PeerMesh::activeGateways(double ownRate, TimePoint now) const
{
    const auto recent = [&](const Peer &peer) {
        return peer.receivedAt != TimePoint{} && now - peer.receivedAt < MembershipLookback;
    };
    size_t heard = 0;
    double rates = ownRate;
    for (const auto &[name, peer] : m_peers) {
        heard += recent(peer) ? 1 : 0;
        rates += recent(peer) ? peer.gossip.requestsPerSecond : 0;
    }
    const double enough = MinActivity * rates / static_cast<double>(1 + heard);
    // A gateway that hears few of its peers may itself be the one that is cut off.
    const bool cutOff = heard * 2 < m_peers.size();
    std::vector<std::string> names;
    if (ownRate >= enough)
        names.push_back(m_name);
    for (const auto &[name, peer] : m_peers) {
        const bool unheard =
            peer.receivedAt == TimePoint{} && now - m_startedAt < MembershipLookback;
        const bool member = cutOff || unheard || recent(peer);
        if (member && (unheard || peer.gossip.requestsPerSecond >= enough))
            names.push_back(name);
    }
    return names;
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

// A gateway that hears less than half of the others may be the one that is cut off.
bool PeerMesh::isCoordinator() const
{
    const bool cutOff = size_t(aliveCount()) * 2 <= m_peers.size();
    if (cutOff || core::BootClock::now() - m_startedAt < CoordinatorDelay)
        return false;
    return isLarge() ? m_hub == m_name : isBestEquipped(m_name, "", candidates(), 1);
}

bool PeerMesh::watchesForOthers() const
{
    return !isLarge() || serving::watchesForOthers(m_name, m_hub, candidates());
}

} // namespace jujube::serving
