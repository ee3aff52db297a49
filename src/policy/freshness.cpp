#include "policy/freshness.h"

#include <algorithm>

namespace jujube::policy {

Freshness judgeFreshness(const core::FreshnessToken &newest, const std::vector<PeerView> &peers,
                         core::TimePoint now, const FreshnessSettings &settings)
{
    if (now - newest.confirmedAt <= settings.maxAge)
        return Freshness::Confirmed;
    const bool allPeersKnown = std::all_of(peers.begin(), peers.end(), [&](const PeerView &it) {
        return it.refused || now - it.lastReceivedAt <= settings.peerTimeout;
    });
    return allPeersKnown ? Freshness::Outage : Freshness::CutOff;
}

} // namespace jujube::policy
