#include "serving/usagecounts.h"

#include <algorithm>

namespace jujube::serving {

uint64_t UsageCounts::windowAt(core::Milliseconds wall) const
{
    return static_cast<uint64_t>(wall / m_window);
}

core::Milliseconds UsageCounts::endOf(uint64_t window) const
{
    return m_window * static_cast<int64_t>(window + 1);
}

void UsageCounts::note(const std::string &team, core::Milliseconds wall)
{
    ++m_own[windowAt(wall)][team];
}

void UsageCounts::merge(uint64_t incarnation, uint64_t window, const TeamCounts &counts)
{
    TeamCounts &known = m_others[window][incarnation];
    for (const auto &[team, n] : counts) {
        uint64_t &value = known[team];
        value = std::max(value, n);
    }
}

TeamCounts UsageCounts::total(uint64_t window) const
{
    TeamCounts sum;
    if (const auto it = m_own.find(window); it != m_own.end())
        sum = it->second;
    if (const auto it = m_others.find(window); it != m_others.end()) {
        for (const auto &[incarnation, counts] : it->second) {
            for (const auto &[team, n] : counts)
                sum[team] += n;
        }
    }
    return sum;
}

void UsageCounts::forgetBefore(uint64_t window)
{
    m_own.erase(m_own.begin(), m_own.lower_bound(window));
    m_others.erase(m_others.begin(), m_others.lower_bound(window));
}

} // namespace jujube::serving
