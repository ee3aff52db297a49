#include "serving/usagecounts.h"

#include <algorithm>

namespace jujube::serving {

uint64_t UsageCounts::windowAt(core::Milliseconds wallTime) const
{
    return static_cast<uint64_t>(wallTime / m_window);
}

core::Milliseconds UsageCounts::windowEnd(uint64_t window) const
{
    return m_window * static_cast<int64_t>(window + 1);
}

void UsageCounts::countRequest(const std::string &team, core::Milliseconds wallTime)
{
    ++m_ownCounts[windowAt(wallTime)][team];
}

void UsageCounts::merge(uint64_t incarnation, uint64_t window, const TeamCounts &counts)
{
    TeamCounts &known = m_peerCounts[window][incarnation];
    for (const auto &[team, n] : counts) {
        uint64_t &value = known[team];
        value = std::max(value, n);
    }
}

TeamCounts UsageCounts::total(uint64_t window) const
{
    TeamCounts sum;
    if (const auto it = m_ownCounts.find(window); it != m_ownCounts.end())
        sum = it->second;
    if (const auto it = m_peerCounts.find(window); it != m_peerCounts.end()) {
        for (const auto &[incarnation, counts] : it->second) {
            for (const auto &[team, n] : counts)
                sum[team] += n;
        }
    }
    return sum;
}

TeamCounts UsageCounts::peerCounts(uint64_t window, uint64_t incarnation) const
{
    const auto runs = m_peerCounts.find(window);
    if (runs == m_peerCounts.end())
        return {};
    const auto counts = runs->second.find(incarnation);
    return counts == runs->second.end() ? TeamCounts() : counts->second;
}

void UsageCounts::eraseBefore(uint64_t window)
{
    m_ownCounts.erase(m_ownCounts.begin(), m_ownCounts.lower_bound(window));
    m_peerCounts.erase(m_peerCounts.begin(), m_peerCounts.lower_bound(window));
}

} // namespace jujube::serving
