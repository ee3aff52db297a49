#include "policy/fairqueue.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace jujube::policy {

namespace {

constexpr double SmallestRate = 1e-6;

core::Milliseconds secondsToMs(double seconds)
{
    return core::Milliseconds(static_cast<int64_t>(std::min(seconds, 86'400.0) * 1'000));
}

} // namespace

bool FairQueue::Order::operator()(const QueuedWork &a, const QueuedWork &b) const
{
    // Higher priority first, hence the swapped operands.
    return std::tie(a.late, b.priority, a.dueAt, a.startBy, a.queuedAt)
        < std::tie(b.late, a.priority, b.dueAt, b.startBy, b.queuedAt);
}

FairQueue::FairQueue(FairQueueSettings settings) : m_settings(settings)
{
}

Admission FairQueue::offer(const QueuedWork &work, core::TimePoint now, double costRate)
{
    Admission admission;
    admission.expectedWait = expectedWait(work, costRate);
    const auto excess =
        std::chrono::ceil<core::Milliseconds>(now + admission.expectedWait - work.startBy);
    if (m_count >= m_settings.maxQueued || excess.count() > 0) {
        const auto wait = m_count >= m_settings.maxQueued ? admission.expectedWait : excess;
        admission.retryAfter = std::clamp(wait, m_settings.minRetryAfter, m_settings.maxRetryAfter);
        return admission;
    }
    TeamQueue &team = m_teams[work.team];
    if (team.work.empty())
        team.counter = std::max(team.counter, smallestActiveCounter());
    team.weight = work.weight;
    team.queuedCost += work.cost;
    team.work.insert(work);
    ++m_count;
    m_queuedCost += work.cost;
    admission.accepted = true;
    return admission;
}

// The work to start next and the queue it belongs to.
struct FairQueue::Pick
{
    const TeamQueue *team = nullptr;
    std::multiset<QueuedWork, Order>::const_iterator work;
};

// Work that can still start on time goes first, whichever team it belongs to: serving a team's late
// work instead would only make another team's work late as well.
FairQueue::Pick FairQueue::next(const Eligible &eligible) const
{
    Pick best;
    for (const auto &[name, team] : m_teams) {
        const auto first =
            std::find_if(team.work.begin(), team.work.end(),
                         [&eligible](const QueuedWork &it) { return !eligible || eligible(it); });
        if (first == team.work.end())
            continue;
        const bool better = !best.team || (best.work->late && !first->late)
            || (first->late == best.work->late && team.counter < best.team->counter);
        if (better)
            best = {&team, first};
    }
    return best;
}

std::optional<QueuedWork> FairQueue::take(const Eligible &eligible)
{
    const Pick pick = next(eligible);
    if (!pick.team)
        return std::nullopt;
    const QueuedWork work = *pick.work;
    TeamQueue &team = m_teams[work.team];
    team.work.erase(pick.work);
    m_lastServedCounter = team.counter;
    team.counter += work.cost / std::max(work.weight, SmallestRate);
    noteErased(team, work.cost);
    return work;
}

bool FairQueue::remove(const std::string &id)
{
    for (auto &[name, team] : m_teams) {
        for (auto it = team.work.begin(); it != team.work.end(); ++it) {
            if (it->id != id)
                continue;
            const double cost = it->cost;
            team.work.erase(it);
            noteErased(team, cost);
            return true;
        }
    }
    return false;
}

std::vector<QueuedWork> FairQueue::takeExpired(core::TimePoint now)
{
    std::vector<QueuedWork> expired;
    for (auto &[name, team] : m_teams) {
        for (auto it = team.work.begin(); it != team.work.end();) {
            if (it->startBy >= now) {
                ++it;
                continue;
            }
            expired.push_back(*it);
            const double cost = it->cost;
            it = team.work.erase(it);
            noteErased(team, cost);
        }
    }
    return expired;
}

std::vector<QueuedWork> FairQueue::demoteLate(core::TimePoint now)
{
    std::vector<QueuedWork> demoted;
    for (auto &[name, team] : m_teams) {
        std::vector<QueuedWork> late;
        for (auto it = team.work.begin(); it != team.work.end();) {
            if (it->late || it->dueAt >= now) {
                ++it;
                continue;
            }
            late.push_back(*it);
            it = team.work.erase(it);
        }
        for (QueuedWork &work : late) {
            work.late = true;
            team.work.insert(work);
            demoted.push_back(std::move(work));
        }
    }
    return demoted;
}

void FairQueue::adjustCharge(const std::string &team, double weight, double estimated,
                             double actual)
{
    const auto it = m_teams.find(team);
    if (it != m_teams.end())
        it->second.counter += (actual - estimated) / std::max(weight, SmallestRate);
}

std::optional<core::TimePoint> FairQueue::oldest() const
{
    std::optional<core::TimePoint> result;
    for (const auto &[name, team] : m_teams) {
        for (const QueuedWork &work : team.work) {
            if (!result || work.queuedAt < *result)
                result = work.queuedAt;
        }
    }
    return result;
}

double FairQueue::smallestActiveCounter() const
{
    double smallest = std::numeric_limits<double>::max();
    for (const auto &[name, team] : m_teams) {
        if (!team.work.empty())
            smallest = std::min(smallest, team.counter);
    }
    return smallest == std::numeric_limits<double>::max() ? m_lastServedCounter : smallest;
}

core::Milliseconds FairQueue::expectedWait(const QueuedWork &work, double costRate) const
{
    // The team's share of the endpoint among the waiting teams, itself included.
    double activeWeight = work.weight;
    double ahead = 0;
    for (const auto &[name, team] : m_teams) {
        if (name == work.team) {
            for (const QueuedWork &it : team.work) {
                // Work of equal order that was queued earlier goes first as well.
                if (!Order()(work, it))
                    ahead += it.cost;
            }
            continue;
        }
        if (!team.work.empty())
            activeWeight += team.weight;
    }
    const double share = work.weight / std::max(activeWeight, SmallestRate);
    const double ownRate = std::max(costRate * share, SmallestRate);
    // Other teams cannot delay the team by more than the cost they have queued.
    const double longestWait = (m_queuedCost) / std::max(costRate, SmallestRate);
    return secondsToMs(std::min(ahead / ownRate, longestWait));
}

void FairQueue::noteErased(TeamQueue &team, double cost)
{
    team.queuedCost -= cost;
    m_queuedCost = std::max(0.0, m_queuedCost - cost);
    --m_count;
}

} // namespace jujube::policy
