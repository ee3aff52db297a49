#include "serving/catchup.h"

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;

// A peer that stays ahead this long has heard something that this gateway's watch has not.
constexpr Milliseconds BehindLimit{400}; // Besides the pace at which it watches.

} // namespace

CatchUp::Action CatchUp::decide(const Position &position, TimePoint now)
{
    if (!position.behind) {
        m_behindSince = {};
        return {};
    }
    if (m_behindSince == TimePoint{})
        m_behindSince = now;
    if (!position.follows && now - m_behindSince < BehindLimit + position.watchPace)
        return {};
    m_behindSince = now;
    return {true, position.reachable};
}

} // namespace jujube::serving
