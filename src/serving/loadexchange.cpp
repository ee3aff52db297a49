#include "serving/loadexchange.h"

#include <algorithm>
#include <xxhash.h>

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;

// Several rounds of the hub; a gateway with a tenth of a core responds within about 100 ms.
constexpr Milliseconds HubTimeout{400};
constexpr Milliseconds HubAvoidanceTime{3'000};
// A gateway that has sent no load to the hub for this long has stopped or selected another hub.
constexpr Milliseconds LoadLifetime{1'500};
// Gateways that relay the counts of gone ones: more than one, as it may be leaving itself.
constexpr size_t MaxCountRelays = 2;

} // namespace

std::string HubSelector::choose(const std::vector<HubCandidate> &candidates, TimePoint now)
{
    if (!m_hub.empty() && now - m_lastResponseAt > HubTimeout)
        m_avoidUntil[m_hub] = now + HubAvoidanceTime;
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
        m_lastResponseAt = now;
    }
    return hub;
}

void HubSelector::noteResponse(const std::string &hub, TimePoint now)
{
    if (hub == m_hub)
        m_lastResponseAt = now;
}

BroadcastRound::PeerGroup BroadcastRound::next(const std::vector<std::string> &names)
{
    const size_t maxPeers = (names.size() + GroupsPerRound - 1) / GroupsPerRound;
    auto it = std::upper_bound(names.begin(), names.end(), m_lastPeer);
    PeerGroup group;
    if (m_lastPeer.empty() || it == names.end()) {
        group.startsRound = true;
        it = names.begin();
    }
    for (; it != names.end() && group.peers.size() < maxPeers; ++it)
        group.peers.push_back(*it);
    if (!group.peers.empty())
        m_lastPeer = group.peers.back();
    return group;
}

bool isBestEquipped(const std::string &name, const std::string &hub,
                    const std::vector<HubCandidate> &candidates, size_t count)
{
    const auto self = std::find_if(candidates.begin(), candidates.end(),
                                   [&](const HubCandidate &it) { return it.name == name; });
    if (self == candidates.end())
        return true;
    const auto hash = [](const std::string &it) { return XXH3_64bits(it.data(), it.size()); };
    const auto preferred =
        std::count_if(candidates.begin(), candidates.end(), [&](const HubCandidate &it) {
            if (!it.alive || it.name == name || it.name == hub)
                return false;
            return it.processorShare != self->processorShare
                ? it.processorShare > self->processorShare
                : hash(it.name) < hash(name);
        });
    return static_cast<size_t>(preferred) < count;
}

bool relaysForDeparted(const std::string &name, const std::string &hub,
                       const std::vector<HubCandidate> &candidates)
{
    return name != hub && isBestEquipped(name, hub, candidates, MaxCountRelays);
}

void LoadAggregator::apply(const GossipMessage &gossip, TimePoint now)
{
    const auto it = m_loads.find(gossip.name);
    if (it != m_loads.end()) {
        if (it->second.gossip.run == gossip.run && it->second.gossip.sequence >= gossip.sequence)
            return;
        addToSums(it->second.gossip, -1);
    }
    m_loads.insert_or_assign(gossip.name, GatewayLoad{gossip, now});
    addToSums(gossip, 1);
    updateReports(gossip, now);
}

void LoadAggregator::updateReports(const GossipMessage &gossip, TimePoint now)
{
    for (const GossipLoadShare &share : gossip.shares) {
        if (!share.report)
            continue;
        Report &known = m_reports[share.endpoint];
        const TimePoint at = now - share.report->age;
        // A report without a pace must not keep a fresh pace from the others.
        const bool hidesPace = share.report->pacePercent == 0 && known.load.pacePercent > 0
            && at - known.at < policy::LoadReportLifetime;
        if (at > known.at && !hidesPace)
            known = {*share.report, at};
    }
}

std::optional<ReportedLoad> LoadAggregator::reportOf(uint64_t endpoint) const
{
    const auto it = m_reports.find(endpoint);
    if (it == m_reports.end())
        return std::nullopt;
    ReportedLoad load = it->second.load;
    load.age =
        std::max(std::chrono::floor<Milliseconds>(m_prunedAt - it->second.at), Milliseconds(0));
    return load;
}

void LoadAggregator::prune(TimePoint now)
{
    m_prunedAt = now;
    std::erase_if(m_reports, [now](const auto &it) {
        return now - it.second.at >= policy::LoadReportLifetime;
    });
    for (auto it = m_loads.begin(); it != m_loads.end();) {
        if (now - it->second.receivedAt <= LoadLifetime) {
            ++it;
            continue;
        }
        addToSums(it->second.gossip, -1);
        it = m_loads.erase(it);
    }
}

void LoadAggregator::Sum::add(const GossipLoadShare &share, int sign)
{
    running += sign * static_cast<int64_t>(share.load.running);
    backlogTokens += sign * static_cast<int64_t>(share.load.backlogTokens);
    remainingTokens += sign * static_cast<int64_t>(share.load.remainingTokens);
    changing += share.changing ? sign : 0;
    failing += share.failing ? sign : 0;
    leaving += share.leaving ? sign : 0;
}

OutstandingLoad LoadAggregator::Sum::load() const
{
    const auto limited = [](int64_t value) {
        return static_cast<uint32_t>(std::clamp<int64_t>(value, 0, UINT32_MAX));
    };
    return {limited(running), limited(backlogTokens), limited(remainingTokens)};
}

void LoadAggregator::addToSums(const GossipMessage &gossip, int sign)
{
    if (sign > 0)
        m_rates += gossip.rates;
    else
        m_rates -= gossip.rates;
    for (const GossipLoadShare &share : gossip.shares) {
        Sum &sum = m_sums[share.endpoint];
        sum.add(share, sign);
        if (sum.empty())
            m_sums.erase(share.endpoint);
    }
}

std::vector<GossipLoadShare> LoadAggregator::loadExcept(const std::string &name) const
{
    auto sums = m_sums;
    if (const auto it = m_loads.find(name); it != m_loads.end()) {
        for (const GossipLoadShare &share : it->second.gossip.shares)
            sums[share.endpoint].add(share, -1);
    }
    std::vector<GossipLoadShare> shares;
    shares.reserve(sums.size());
    for (const auto &[endpoint, sum] : sums) {
        const auto report = reportOf(endpoint);
        if (report || sum.running > 0 || sum.backlogTokens > 0 || sum.changing > 0
            || sum.failing > 0 || sum.leaving > 0)
            shares.push_back(
                {endpoint, sum.load(), sum.changing > 0, sum.failing > 0, sum.leaving > 0, report});
    }
    // The last request of an endpoint can have ended after its report.
    for (const auto &[endpoint, report] : m_reports) {
        if (!sums.contains(endpoint))
            shares.push_back({endpoint, {}, false, false, false, reportOf(endpoint)});
    }
    return shares;
}

TokenRates LoadAggregator::ratesExcept(const std::string &name) const
{
    TokenRates rates = m_rates;
    if (const auto it = m_loads.find(name); it != m_loads.end())
        rates -= it->second.gossip.rates;
    return {std::max(0.0, rates.promptPerSecond), std::max(0.0, rates.outputPerSecond)};
}

} // namespace jujube::serving
