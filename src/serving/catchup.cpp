#include "serving/catchup.h"

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;

// A peer that stays ahead this long has heard something that this gateway's watch has not. To read
// the store afresh costs more than to ask a peer, and waits for the pace of the watches besides.
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
    // Without an answering watch of its own there is nothing to wait for.
    const bool watchWorks = !position.follows && position.reachable;
    Action action;
    action.fetch = !watchWorks || now - m_behindSince >= MaxLag;
    action.list = watchWorks && now - m_behindOrListedSince >= MaxLag + position.minWatchInterval;
    if (action.list)
        m_behindOrListedSince = now;
    return action;
}

} // namespace jujube::serving
