/** \file
 * Keeps the shares of engine time that teams get while prompts wait.
 */

#include "core/metrics.h"
#include "core/text.h"
#include "policy/requestcost.h"
#include "serving/promptscheduler.h"

#include <algorithm>

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;
using policy::TeamShares;

constexpr uint32_t UsualSlots = 64; ///< If no decode engine is known.
// Bounds of the log of delayed prompts. Callers of the most urgent prompts wait for 250 ms.
constexpr Milliseconds MinLoggedWait{250};
constexpr double MinLoggedOveruse = 2;
constexpr uint32_t MaxLoggedDelays = 10; ///< Per second.
constexpr size_t MaxGaugedTeams = 20;
constexpr Milliseconds GaugeInterval{1'000};

std::string labelOf(const std::string &team)
{
    return core::concat("team=\"", team, "\"");
}

} // namespace

void PromptScheduler::shareByTeam(FullStepMs fullStepMs)
{
    m_fullStepMs = std::move(fullStepMs);
    m_queueSettings.sharesByTeam = true;
}

bool PromptScheduler::overuses(const std::string &service, const std::string &team) const
{
    const auto it = m_serviceQueues.find(service);
    return it != m_serviceQueues.end()
        && it->second.queue.overuse(team, core::BootClock::now()) > 1;
}

// Charged at the dispatch, by what is expected then. What a run really took is known seconds later,
// when its team may have used a multiple of its share.
void PromptScheduler::chargeTeam(const std::string &service, ServiceQueue &serviceQueue,
                                 const policy::PromptDispatch &dispatch,
                                 std::span<const policy::PlacementCandidate> engines,
                                 TimePoint now) const
{
    uint32_t slots = 0;
    for (const policy::PlacementCandidate &it : engines)
        slots = it.isPrefillEngine ? slots : std::max(slots, static_cast<uint32_t>(it.slots));
    if (slots == 0)
        slots = UsualSlots;
    const uint32_t tokens = dispatch.prompt.info.tokens;
    const auto cost =
        policy::RequestCost::of(tokens, tokens - std::min(tokens, dispatch.choice.uncachedTokens),
                                dispatch.prompt.expectedOutputTokens);
    serviceQueue.queue.teamShares()->charge(
        dispatch.prompt.team,
        cost.engineTime(prefillTokensPerMs(), m_fullStepMs(service, slots), slots), now);
}

std::optional<TeamDelay> PromptScheduler::teamDelayToLog(double overuse, TimePoint queuedAt,
                                                         TimePoint now)
{
    if (overuse < MinLoggedOveruse || now - queuedAt < MinLoggedWait)
        return std::nullopt;
    if (now - m_delaysSince >= std::chrono::seconds(1)) {
        m_delaysSince = now;
        m_loggedDelays = 0;
    }
    if (m_loggedDelays >= MaxLoggedDelays)
        return std::nullopt;
    ++m_loggedDelays;
    return TeamDelay{overuse, std::chrono::duration_cast<Milliseconds>(now - queuedAt)};
}

std::vector<GossipTeamUse> PromptScheduler::teamUse() const
{
    const TimePoint now = core::BootClock::now();
    std::vector<GossipTeamUse> uses;
    for (const auto &[service, serviceQueue] : m_serviceQueues) {
        const TeamShares *shares = serviceQueue.queue.teamShares();
        if (!shares)
            continue;
        for (const policy::TeamUse &it : shares->ownUse(now))
            uses.push_back({TeamShares::hashOf(service), it});
    }
    std::stable_sort(uses.begin(), uses.end(),
                     [](const auto &a, const auto &b) { return a.use.engineMs > b.use.engineMs; });
    uses.resize(std::min(uses.size(), TeamShares::MaxListedTeams));
    return uses;
}

void PromptScheduler::mergeTeamUse(uint64_t peer, std::span<const GossipTeamUse> uses)
{
    const TimePoint now = core::BootClock::now();
    for (auto &[service, serviceQueue] : m_serviceQueues) {
        TeamShares *shares = serviceQueue.queue.teamShares();
        if (!shares)
            continue;
        std::vector<policy::TeamUse> ofService;
        const uint64_t hash = TeamShares::hashOf(service);
        for (const GossipTeamUse &it : uses) {
            if (it.service == hash)
                ofService.push_back(it.use);
        }
        shares->merge(peer, ofService, now);
    }
}

void PromptScheduler::updateTeamGauges()
{
    const TimePoint now = core::BootClock::now();
    if (!m_fullStepMs || now - m_gaugesUpdatedAt < GaugeInterval)
        return;
    m_gaugesUpdatedAt = now;
    std::map<std::string, policy::TeamOveruse> byTeam; // Over all services.
    for (auto &[service, serviceQueue] : m_serviceQueues) {
        for (const policy::TeamOveruse &it :
             serviceQueue.queue.teamShares()->largest(MaxGaugedTeams, now)) {
            policy::TeamOveruse &team = byTeam[it.name];
            team.engineMs += it.engineMs;
            team.overuse = std::max(team.overuse, it.overuse);
        }
    }
    std::vector<std::pair<double, std::string>> order;
    order.reserve(byTeam.size());
    for (const auto &[name, it] : byTeam)
        order.emplace_back(-it.engineMs, name);
    std::sort(order.begin(), order.end());
    order.resize(std::min(order.size(), MaxGaugedTeams));
    std::set<std::string> gauged;
    for (const auto &[use, name] : order) {
        core::setGauge("jujube_team_overuse", labelOf(name), byTeam[name].overuse);
        gauged.insert(name);
    }
    for (const std::string &it : std::exchange(m_gaugedTeams, gauged)) {
        if (!gauged.contains(it))
            core::removeGauge("jujube_team_overuse", labelOf(it));
    }
}

} // namespace jujube::serving
