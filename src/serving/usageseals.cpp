#include "serving/usageseals.h"

#include <algorithm>

namespace jujube::serving {

namespace {

// Clocks of two gateways differ by less than this (see WallClock).
constexpr core::Milliseconds ClockSlack{1'000};

} // namespace

bool UsageSeals::addSeal(uint64_t window, const TeamCounts &counts)
{
    const auto [it, added] = m_byWindow.try_emplace(window, counts);
    return added || it->second == counts;
}

const TeamCounts *UsageSeals::find(uint64_t window) const
{
    const auto it = m_byWindow.find(window);
    return it == m_byWindow.end() ? nullptr : &it->second;
}

void UsageSeals::eraseBefore(uint64_t window)
{
    m_byWindow.erase(m_byWindow.begin(), m_byWindow.lower_bound(window));
}

void UsageSeals::startEra(core::Milliseconds observedAt,
                          std::optional<core::Milliseconds> leaderSince)
{
    if (leaderSince)
        m_maySealFrom = std::max(m_maySealFrom, *leaderSince);
    else
        m_maySealFrom = observedAt + ClockSlack;
}

void UsageSeals::limitEraStart(core::Milliseconds time)
{
    m_maySealFrom = std::min(m_maySealFrom, time + ClockSlack);
}

} // namespace jujube::serving
