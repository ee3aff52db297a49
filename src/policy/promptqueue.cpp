#include "policy/promptqueue.h"

#include <algorithm>
#include <cmath>

namespace jujube::policy {

namespace {

// Follows the mean size of a route over about its last 20 requests.
constexpr double MeanWeight = 0.05;
// Ordering key up to which a prompt gets the highest priority at an engine; each doubling lowers
// the priority by one step. Short chats have a key of 800 tokens, the largest documents, when late,
// one of 200,000.
constexpr double HighestPriorityKey = 800;
// The permitted backlog of an engine is a time, so a fast one may hold more tokens. A wrong
// slowdown must neither gather the work of all gateways at one engine nor let it run dry.
constexpr double MaxBacklogFactor = 2;
// Overuse from which a prompt may be refused for the wait of its own team. Below it, the wait of
// the few prompts that most teams have at one gateway is too uncertain.
constexpr double MinRefusedOveruse = 2;
constexpr size_t MaxSecondChoices = 4; ///< Each costs as much as the first choice of a prompt.

uint32_t enginePriority(double key)
{
    const double doublings = std::log2(std::max(1.0, key) / HighestPriorityKey);
    return static_cast<uint32_t>(
        std::clamp(doublings, 0.0, static_cast<double>(LowestEnginePriority)));
}

// Time until the prefill engines have taken a waiting token of each gateway. The other gateways
// have about as many prompts waiting as this one.
double waitMsPerToken(const std::vector<PlacementCandidate> &engines,
                      const PlacementSettings &placement)
{
    double rate = 0;
    for (const PlacementCandidate &it : engines)
        rate += it.usable && it.isPrefillEngine ? 1 / prefillFactor(it) : 0;
    return rate > 0 ? placement.gateways / (rate * placement.prefill.tokensPerMs) : 0;
}

// Returns the engines with the excluded ones marked unusable; unchanged if no other is usable.
std::vector<PlacementCandidate> withoutEngines(const std::vector<PlacementCandidate> &engines,
                                               const std::set<std::string> &excluded)
{
    std::vector<PlacementCandidate> others = engines;
    for (PlacementCandidate &it : others)
        it.usable = it.usable && !excluded.contains(std::string(it.id));
    const bool any =
        std::any_of(others.begin(), others.end(), [](const auto &it) { return it.usable; });
    return any ? others : engines;
}

} // namespace

PromptQueue::PromptQueue(PromptQueueSettings settings)
    : m_settings(settings),
      m_teamShares(settings.sharesByTeam ? std::make_optional<TeamShares>() : std::nullopt)
{
}

void PromptQueue::add(WaitingPrompt prompt)
{
    if (m_teamShares)
        m_teamShares->addWaiting(TeamShares::hashOf(prompt.team));
    const auto tokens = static_cast<double>(prompt.info.tokens);
    const auto [mean, added] = m_meanTokens.try_emplace(prompt.routeName, tokens);
    if (!added)
        mean->second += MeanWeight * (tokens - mean->second);
    m_waiting.push_back(std::move(prompt));
}

bool PromptQueue::remove(uint64_t id)
{
    const auto it = std::find_if(m_waiting.begin(), m_waiting.end(),
                                 [id](const WaitingPrompt &prompt) { return prompt.id == id; });
    if (it == m_waiting.end())
        return false;
    if (m_teamShares)
        m_teamShares->removeWaiting(TeamShares::hashOf(it->team));
    m_waiting.erase(it);
    m_promptsWait = m_promptsWait && !m_waiting.empty();
    return true;
}

double PromptQueue::overuse(const std::string &team, core::TimePoint now) const
{
    return m_teamShares && m_promptsWait ? m_teamShares->overuse(TeamShares::hashOf(team), now) : 1;
}

bool PromptQueue::hasRoom(const PlacementCandidate &engine) const
{
    if (!engine.isPrefillEngine)
        return engine.backlogTokens < m_settings.maxColocatedBacklogTokens;
    const double factor =
        std::clamp(engine.slowdown.value_or(1), 1 / MaxBacklogFactor, MaxBacklogFactor);
    return engine.backlogTokens * factor < m_settings.maxBacklogTokens;
}

uint32_t PromptQueue::priorityOf(const WaitingPrompt &prompt, core::TimePoint now) const
{
    return enginePriority(orderingKey(prompt, now));
}

// Prompts in prefill count as occupied decode slots, because they need one shortly after.
bool PromptQueue::decodeHasRoom(const std::vector<PlacementCandidate> &engines) const
{
    double activeRequests = 0;
    double slots = 0;
    for (const PlacementCandidate &it : engines) {
        activeRequests += it.running;
        slots += !it.isPrefillEngine && it.usable ? it.slots : 0;
    }
    return slots == 0 || activeRequests < slots * m_settings.maxDecodeSlotUse;
}

double PromptQueue::sizeKey(const WaitingPrompt &prompt) const
{
    const auto mean = m_meanTokens.find(prompt.routeName);
    const double tokens =
        mean == m_meanTokens.end() ? static_cast<double>(prompt.info.tokens) : mean->second;
    return tokens * std::pow(m_settings.rankFactor, prompt.rank);
}

double PromptQueue::orderingKey(const WaitingPrompt &prompt, core::TimePoint now) const
{
    const bool late = now + m_settings.firstTokenDelay > prompt.firstTokenDueAt;
    return sizeKey(prompt) * (late ? m_settings.lateFactor : 1) * overuse(prompt.team, now);
}

// Without this, slow engines are idle while all long prompts wait for the fast ones.
std::optional<PrefillChoice> PromptQueue::chooseInstead(const PrefillChoice &choice, double waitMs,
                                                        std::vector<PlacementCandidate> engines,
                                                        const PromptInfo &info,
                                                        const PlacementSettings &placement,
                                                        std::mt19937_64 &random) const
{
    for (PlacementCandidate &it : engines)
        it.usable = it.usable && it.isPrefillEngine && hasRoom(it);
    const auto other = choosePrefillEngine(engines, info, placement, random);
    const double patienceMs = static_cast<double>(choice.predictedFirstToken.count()) + waitMs;
    if (!other || static_cast<double>(other->predictedFirstToken.count()) > patienceMs)
        return std::nullopt;
    return other;
}

std::optional<PromptDispatch> PromptQueue::takeNext(std::vector<PlacementCandidate> &engines,
                                                    const CachedTokens &cached,
                                                    const PlacementSettings &placement,
                                                    core::TimePoint now, std::mt19937_64 &random)
{
    const bool room = std::any_of(engines.begin(), engines.end(),
                                  [this](const auto &it) { return it.usable && hasRoom(it); });
    if (!room || !decodeHasRoom(engines))
        return std::nullopt;
    std::vector<std::pair<double, std::list<WaitingPrompt>::iterator>> order;
    order.reserve(m_waiting.size());
    for (auto it = m_waiting.begin(); it != m_waiting.end(); ++it)
        order.emplace_back(orderingKey(*it, now), it);
    std::stable_sort(order.begin(), order.end(),
                     [](const auto &a, const auto &b) { return a.first < b.first; });
    const double msPerToken = waitMsPerToken(engines, placement);
    double tokensAhead = 0;
    for (size_t i = 0; i < std::min(order.size(), m_settings.maxScannedPrompts); ++i) {
        const auto it = order[i].second;
        const std::vector<uint32_t> tokens = cached(*it);
        for (size_t j = 0; j < engines.size(); ++j)
            engines[j].cachedTokens = tokens[j];
        PromptInfo info = it->info;
        info.priority = enginePriority(order[i].first);
        info.fetchableTokens = tokens.empty() ? 0 : *std::max_element(tokens.begin(), tokens.end());
        auto choice = it->failedEngines.empty()
            ? choosePrefillEngine(engines, info, placement, random)
            : choosePrefillEngine(withoutEngines(engines, it->failedEngines), info, placement,
                                  random);
        if (choice && !hasRoom(engines[choice->index])) {
            // Of the prompts that other gateways have in the same place, half go first.
            const double waitMs = (tokensAhead + choice->expectedTokens / 2) * msPerToken;
            tokensAhead += choice->expectedTokens;
            choice = placement.predictsByPace && i < MaxSecondChoices && it->failedEngines.empty()
                ? chooseInstead(*choice, waitMs, engines, info, placement, random)
                : std::nullopt;
        }
        if (!choice)
            continue;
        const double byTeam = overuse(it->team, now);
        PromptDispatch dispatch{std::move(*it), *choice, enginePriority(order[i].first), byTeam};
        m_waiting.erase(it);
        if (m_teamShares)
            m_teamShares->removeWaiting(TeamShares::hashOf(dispatch.prompt.team));
        return dispatch;
    }
    return std::nullopt;
}

std::vector<uint64_t> PromptQueue::takeExpired(core::TimePoint now)
{
    std::vector<uint64_t> ids;
    for (const WaitingPrompt &it : m_waiting) {
        if (now + m_settings.firstTokenDelay > it.deadlineAt)
            ids.push_back(it.id);
    }
    for (const uint64_t id : ids)
        remove(id);
    return ids;
}

core::Milliseconds PromptQueue::expectedWait(const WaitingPrompt &prompt, double tokensPerSecond,
                                             core::TimePoint now) const
{
    const double key = orderingKey(prompt, now);
    double ahead = 0;
    double aheadOfTeam = 0;
    const double size = sizeKey(prompt);
    for (const WaitingPrompt &it : m_waiting) {
        if (orderingKey(it, now) <= key)
            ahead += it.info.tokens;
        if (it.team == prompt.team && sizeKey(it) <= size)
            aheadOfTeam += it.info.tokens;
    }
    // The prompts of other teams that are still to come go before those of a team far beyond its
    // share. Its prompts advance at the rate at which the team is served, and what is late now was
    // in time before.
    if (overuse(prompt.team, now) >= MinRefusedOveruse)
        ahead = std::max(ahead,
                         aheadOfTeam / m_teamShares->share(TeamShares::hashOf(prompt.team), now));
    constexpr double msPerSecond = 1000;
    return core::Milliseconds(static_cast<int64_t>(msPerSecond * ahead / tokensPerSecond));
}

double PromptQueue::waitingTokens() const
{
    double sum = 0;
    for (const WaitingPrompt &it : m_waiting)
        sum += it.info.tokens;
    return sum;
}

} // namespace jujube::policy
