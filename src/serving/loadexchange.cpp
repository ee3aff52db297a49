#include "serving/loadexchange.h"

#include <algorithm>

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;

// Several rounds of the hub; gateways of a tenth of a core answer within about 100 ms.
constexpr Milliseconds HubSilence{400};
constexpr Milliseconds HubAvoidance{3'000};
// A gateway that has said nothing to the hub for this long has stopped or chosen another hub.
constexpr Milliseconds AccountLife{1'500};
// Gateways that tell on what gone ones had counted: one may be on its way out itself.
constexpr std::ptrdiff_t Successors = 2;

} // namespace

std::string HubChoice::choose(const std::vector<HubCandidate> &candidates, TimePoint now)
{
    if (!m_hub.empty() && now - m_heardAt > HubSilence)
        m_avoidUntil[m_hub] = now + HubAvoidance;
    const HubCandidate *best = nullptr;
    for (const HubCandidate &it : candidates) {
        const auto avoided = m_avoidUntil.find(it.name);
        if (!it.alive || (avoided != m_avoidUntil.end() && now < avoided->second))
            continue;
        if (!best || it.processorShare > best->processorShare
            || (it.processorShare == best->processorShare && it.name < best->name))
            best = &it;
    }
    std::string hub = best ? best->name : "";
    if (hub != m_hub) {
        m_hub = hub;
        m_heardAt = now;
    }
    return hub;
}

void HubChoice::noteAnswer(const std::string &hub, TimePoint now)
{
    if (hub == m_hub)
        m_heardAt = now;
}

NewsRound::Slice NewsRound::next(const std::vector<std::string> &names)
{
    const size_t most = (names.size() + Slices - 1) / Slices;
    auto it = std::upper_bound(names.begin(), names.end(), m_last);
    Slice slice;
    if (m_last.empty() || it == names.end()) {
        slice.begins = true;
        it = names.begin();
    }
    for (; it != names.end() && slice.peers.size() < most; ++it)
        slice.peers.push_back(*it);
    if (!slice.peers.empty())
        m_last = slice.peers.back();
    return slice;
}

bool succeedsGone(const std::string &name, const std::vector<std::string> &alivePeers)
{
    return std::count_if(alivePeers.begin(), alivePeers.end(),
                         [&](const std::string &it) { return it < name; })
        < Successors;
}

void LoadBooks::note(const News &news, TimePoint now)
{
    const auto it = m_accounts.find(news.name);
    if (it != m_accounts.end()) {
        if (it->second.news.run == news.run && it->second.news.sequence >= news.sequence)
            return;
        add(it->second.news, -1);
    }
    m_accounts.insert_or_assign(news.name, Account{news, now});
    add(news, 1);
}

void LoadBooks::prune(TimePoint now)
{
    for (auto it = m_accounts.begin(); it != m_accounts.end();) {
        if (now - it->second.at <= AccountLife) {
            ++it;
            continue;
        }
        add(it->second.news, -1);
        it = m_accounts.erase(it);
    }
}

void LoadBooks::add(const News &news, int sign)
{
    if (sign > 0)
        m_rates += news.rates;
    else
        m_rates -= news.rates;
    for (const GossipLoadShare &share : news.shares) {
        Sum &sum = m_sums[share.endpoint];
        sum.running += sign * static_cast<int64_t>(share.load.running);
        sum.backlogTokens += sign * static_cast<int64_t>(share.load.backlogTokens);
        sum.changing += share.changing ? sign : 0;
        sum.failing += share.failing ? sign : 0;
        sum.leaving += share.leaving ? sign : 0;
        if (sum.empty())
            m_sums.erase(share.endpoint);
    }
}

std::vector<GossipLoadShare> LoadBooks::othersOf(const std::string &name) const
{
    auto sums = m_sums;
    if (const auto it = m_accounts.find(name); it != m_accounts.end()) {
        for (const GossipLoadShare &share : it->second.news.shares) {
            Sum &sum = sums[share.endpoint];
            sum.running -= static_cast<int64_t>(share.load.running);
            sum.backlogTokens -= static_cast<int64_t>(share.load.backlogTokens);
            sum.changing -= share.changing ? 1 : 0;
            sum.failing -= share.failing ? 1 : 0;
            sum.leaving -= share.leaving ? 1 : 0;
        }
    }
    std::vector<GossipLoadShare> shares;
    shares.reserve(sums.size());
    for (const auto &[endpoint, sum] : sums) {
        if (sum.running > 0 || sum.backlogTokens > 0 || sum.changing > 0 || sum.failing > 0
            || sum.leaving > 0)
            shares.push_back({endpoint,
                              {static_cast<uint32_t>(std::max<int64_t>(0, sum.running)),
                               static_cast<uint32_t>(std::max<int64_t>(0, sum.backlogTokens))},
                              sum.changing > 0,
                              sum.failing > 0,
                              sum.leaving > 0});
    }
    return shares;
}

TokenRates LoadBooks::ratesOfOthers(const std::string &name) const
{
    TokenRates rates = m_rates;
    if (const auto it = m_accounts.find(name); it != m_accounts.end())
        rates -= it->second.news.rates;
    return {std::max(0.0, rates.promptPerSecond), std::max(0.0, rates.outputPerSecond)};
}

} // namespace jujube::serving
