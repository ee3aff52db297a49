#include "policy/connectfailures.h"

#include <algorithm>

namespace jujube::policy {

namespace {

using core::Milliseconds;

// A process is restarted within seconds. Each pause ends with one attempt, so a longer first pause
// would keep an endpoint idle that had only refused a connection above its limit.
constexpr Milliseconds FirstPause{300};
constexpr Milliseconds MaxPause{1'200};
constexpr uint32_t MaxDoublings = 2;
// Connecting within a region takes a few ms; a VM that has lost power does not answer at all. Below
// the lower bound a gateway that is short of processor time would give up sound connections.
constexpr Milliseconds MinConnectTimeout{120};
constexpr Milliseconds MaxConnectTimeout{350};

} // namespace

Milliseconds ConnectFailures::note(core::TimePoint now)
{
    if (now < m_pausedUntil)
        return std::chrono::ceil<Milliseconds>(m_pausedUntil - now);
    const auto doublings = std::min(m_pauses++, MaxDoublings);
    const Milliseconds pause = std::min(MaxPause, FirstPause * (int64_t(1) << doublings));
    m_pausedUntil = now + pause;
    return pause;
}

void ConnectFailures::reset()
{
    m_pauses = 0;
    m_pausedUntil = {};
}

bool mayPauseUnreachable(size_t paused, size_t present)
{
    return paused * 2 < present;
}

// Half of the objective leaves time to be answered in time by another endpoint.
Milliseconds connectTimeout(Milliseconds latencyObjective)
{
    if (latencyObjective.count() <= 0)
        return MaxConnectTimeout;
    return std::clamp(latencyObjective / 2, MinConnectTimeout, MaxConnectTimeout);
}

} // namespace jujube::policy
