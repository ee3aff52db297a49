#include "serving/catchup.h"

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;

// A peer that stays ahead for longer has received a change that this gateway's watch has missed.
// Listing the store costs more than a request to a peer, so it also waits for the watch interval.
constexpr Milliseconds MaxLag{400};

} // namespace

CatchUp::Action CatchUp::decide(const Position &position, TimePoint now)
{
    if (!position.behind) {
        m_behindSince = {};
        m_behindOrListedSince = {};
        return {};
    }
    if (m_behindSince == TimePoint{})
        m_behindSince = m_behindOrListedSince = now;
    // Without a working watch there is no reason to wait.
    const bool watchWorks = !position.fedByPeers && position.reachable;
    Action action;
    action.fetch = !watchWorks || now - m_behindSince >= MaxLag;
    action.list = watchWorks && now - m_behindOrListedSince >= MaxLag + position.minWatchInterval;
    if (action.list)
        m_behindOrListedSince = now;
    return action;
}

} // namespace jujube::serving
