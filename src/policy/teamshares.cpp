#include "policy/teamshares.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace jujube::policy {

namespace {

using core::Milliseconds;
using core::TimePoint;

// A team below this has no use: a thousandth of what most requests cost, so that a decaying sum
// does not count as activity for long. A request of 50 ms is forgotten after 20 s.
constexpr double MinUseMs = 1;
// Teams become inactive by decay alone, so their number is determined again after this time.
constexpr Milliseconds UpdateInterval{100};
// Stored uses grow by e for each time constant since the reference; far from the limit of a double.
constexpr Milliseconds MaxReferenceAge = TeamShares::TimeConstant * 20;

} // namespace

uint64_t TeamShares::hashOf(std::string_view teamName)
{
    return XXH3_64bits(teamName.data(), teamName.size());
}

bool TeamShares::isValid(const TeamUse &use)
{
    return std::isfinite(use.engineMs) && use.engineMs >= 0 && use.engineMs <= MaxUseMs;
}

double TeamShares::growth(TimePoint now) const
{
    using Ms = std::chrono::duration<double, std::milli>;
    return std::exp(Ms(now - m_reference) / Ms(TimeConstant));
}

void TeamShares::advanceReference(TimePoint now)
{
    if (now - m_reference < MaxReferenceAge)
        return;
    const double decay = 1 / growth(now);
    m_reference = now;
    for (auto &[hash, team] : m_teams) {
        team.own *= decay;
        team.atPeers *= decay;
    }
    for (auto &[peer, list] : m_lists) {
        for (TeamUse &it : list.uses)
            it.engineMs *= decay;
    }
}

void TeamShares::addWaiting(uint64_t team)
{
    m_changed = ++m_teams[team].waiting == 1 || m_changed;
}

void TeamShares::removeWaiting(uint64_t team)
{
    const auto it = m_teams.find(team);
    if (it == m_teams.end() || it->second.waiting == 0 || --it->second.waiting > 0)
        return;
    m_changed = true;
    if (it->second.empty())
        m_teams.erase(it);
}

void TeamShares::charge(const std::string &teamName, double engineMs, TimePoint now)
{
    if (!(engineMs > 0) || !std::isfinite(engineMs))
        return;
    advanceReference(now);
    Team &team = m_teams[hashOf(teamName)];
    m_ownTeams += team.own <= 0 ? 1 : 0;
    team.own += engineMs * growth(now);
    team.name = teamName;
    m_changed = true;
    if (m_ownTeams > MaxOwnTeams)
        dropLeastOwn();
}

void TeamShares::dropLeastOwn()
{
    auto least = m_teams.end();
    for (auto it = m_teams.begin(); it != m_teams.end(); ++it) {
        if (it->second.own > 0 && (least == m_teams.end() || it->second.own < least->second.own))
            least = it;
    }
    least->second.own = 0;
    least->second.name.clear();
    --m_ownTeams;
    if (least->second.empty())
        m_teams.erase(least);
}

void TeamShares::dropList(const PeerList &list)
{
    for (const TeamUse &use : list.uses) {
        const auto it = m_teams.find(use.team);
        Team &team = it->second;
        --team.lists;
        // A rounding error must not remain as use.
        team.atPeers = team.lists > 0 ? std::max(0.0, team.atPeers - use.engineMs) : 0;
        if (team.empty())
            m_teams.erase(it);
    }
    m_changed = true;
}

void TeamShares::dropOldLists(TimePoint now)
{
    std::erase_if(m_lists, [&](const auto &it) {
        const bool old = now - it.second.receivedAt >= ListLifetime;
        if (old)
            dropList(it.second);
        return old;
    });
}

void TeamShares::merge(uint64_t peer, std::span<const TeamUse> list, TimePoint now)
{
    advanceReference(now);
    dropOldLists(now);
    if (const auto it = m_lists.find(peer); it != m_lists.end()) {
        dropList(it->second);
        m_lists.erase(it);
    }
    if (m_lists.size() >= MaxPeers)
        return;
    PeerList added;
    added.receivedAt = now;
    for (const TeamUse &it : list) {
        if (added.uses.size() == MaxListedTeams)
            break;
        if (!isValid(it) || it.engineMs < MinUseMs)
            continue;
        added.uses.push_back({it.team, it.engineMs * growth(now)});
        Team &team = m_teams[it.team];
        team.atPeers += added.uses.back().engineMs;
        ++team.lists;
    }
    if (!added.uses.empty())
        m_lists.emplace(peer, std::move(added));
    m_changed = true;
}

void TeamShares::update(TimePoint now)
{
    if (!m_changed && now - m_updatedAt < UpdateInterval)
        return;
    advanceReference(now);
    dropOldLists(now);
    const double minUse = MinUseMs * growth(now);
    double sum = 0;
    size_t active = 0;
    for (auto it = m_teams.begin(); it != m_teams.end();) {
        Team &team = it->second;
        if (team.own > 0 && team.own < minUse) {
            team.own = 0;
            team.name.clear();
            --m_ownTeams;
        }
        if (team.empty()) {
            it = m_teams.erase(it);
            continue;
        }
        const bool hasUse = team.use() >= minUse;
        sum += hasUse ? team.use() : 0;
        active += hasUse || team.waiting > 0 ? 1 : 0;
        ++it;
    }
    m_sum = sum;
    m_equalShare = active >= 2 ? sum / static_cast<double>(active) : 0;
    m_updatedAt = now;
    m_changed = false;
}

double TeamShares::overuse(uint64_t team, TimePoint now)
{
    update(now);
    const auto it = m_teams.find(team);
    if (it == m_teams.end() || m_equalShare <= 0)
        return 1;
    return std::clamp(it->second.use() / m_equalShare, 1.0, MaxOveruse);
}

double TeamShares::share(uint64_t team, TimePoint now)
{
    const bool overused = overuse(team, now) > 1;
    return overused ? std::min(1.0, m_teams.at(team).use() / m_sum) : 1;
}

std::vector<TeamUse> TeamShares::ownUse(TimePoint now) const
{
    std::vector<TeamUse> uses;
    const double decay = 1 / growth(now);
    for (const auto &[hash, team] : m_teams) {
        if (team.own * decay >= MinUseMs)
            uses.push_back({hash, std::min(team.own * decay, MaxUseMs)});
    }
    const auto count = static_cast<ptrdiff_t>(std::min(uses.size(), MaxListedTeams));
    std::partial_sort(uses.begin(), uses.begin() + count, uses.end(),
                      [](const TeamUse &a, const TeamUse &b) { return a.engineMs > b.engineMs; });
    uses.resize(static_cast<size_t>(count));
    return uses;
}

std::vector<TeamOveruse> TeamShares::largest(size_t count, TimePoint now)
{
    update(now);
    std::vector<TeamOveruse> teams;
    const double decay = 1 / growth(now);
    for (const auto &[hash, team] : m_teams) {
        if (team.own > 0)
            teams.push_back({team.name, team.use() * decay, overuse(hash, now)});
    }
    const auto kept = static_cast<ptrdiff_t>(std::min(teams.size(), count));
    std::partial_sort(
        teams.begin(), teams.begin() + kept, teams.end(),
        [](const TeamOveruse &a, const TeamOveruse &b) { return a.engineMs > b.engineMs; });
    teams.resize(static_cast<size_t>(kept));
    return teams;
}

} // namespace jujube::policy
