#include "entry/fleetview.h"

#include "core/keyhash.h"
#include "core/text.h"

#include <algorithm>

namespace jujube::entry {

FleetView::FleetView(wire::IoContext &io, wire::RpcIdentity identity, size_t maxCandidates,
                     std::function<wire::PingMessage()> makePing,
                     std::function<void(const core::FreshnessToken &)> onFreshnessToken)
    : m_io(io),
      m_identity(std::move(identity)),
      m_maxCandidates(maxCandidates),
      m_makePing(std::move(makePing)),
      m_onFreshnessToken(std::move(onFreshnessToken))
{
}

void FleetView::setAgents(const std::vector<state::AgentRecord> &agents)
{
    m_registeredAgentCount = agents.size();
    std::set<std::string> wanted;
    for (const state::AgentRecord &record : selectAgents(agents)) {
        wanted.insert(record.vm);
        auto &link = m_links[record.vm];
        if (link) {
            link->updateRecord(record);
            continue;
        }
        link =
            std::make_shared<AgentLink>(m_io, m_identity, record, m_makePing, m_onFreshnessToken);
        link->start();
    }
    for (auto it = m_links.begin(); it != m_links.end();) {
        if (wanted.contains(it->first)) {
            ++it;
            continue;
        }
        it->second->close();
        it = m_links.erase(it);
    }
}

std::vector<state::AgentRecord>
FleetView::selectAgents(std::vector<state::AgentRecord> agents) const
{
    struct Ranked
    {
        uint64_t rank = 0;
        state::AgentRecord record;
    };
    // Agents by model and failure domain, with this entry's own rank.
    std::map<std::string, std::map<std::string, std::vector<Ranked>>> groups;
    for (state::AgentRecord &it : agents) {
        const uint64_t rank = core::stableHash(core::concat(m_identity.process, "/", it.vm));
        auto &group = groups[it.model][it.domain];
        group.push_back({rank, std::move(it)});
    }
    std::vector<state::AgentRecord> selected;
    for (auto &[model, domains] : groups) {
        const size_t share = std::max<size_t>(1, m_maxCandidates / domains.size());
        for (auto &[domain, ranked] : domains) {
            std::sort(ranked.begin(), ranked.end(),
                      [](const Ranked &a, const Ranked &b) { return a.rank < b.rank; });
            for (size_t i = 0; i < std::min(share, ranked.size()); ++i)
                selected.push_back(std::move(ranked[i].record));
        }
    }
    return selected;
}

std::vector<std::shared_ptr<AgentLink>> FleetView::candidates(core::WorkKind kind,
                                                              const std::string &model) const
{
    std::vector<std::shared_ptr<AgentLink>> result;
    for (const auto &[vm, link] : m_links) {
        const state::AgentRecord &record = link->record();
        if (record.kind == kind && record.model == model && !m_leavingVms.contains(vm))
            result.push_back(link);
    }
    return result;
}

std::vector<std::shared_ptr<AgentLink>> FleetView::links() const
{
    std::vector<std::shared_ptr<AgentLink>> result;
    for (const auto &[vm, link] : m_links)
        result.push_back(link);
    return result;
}

} // namespace jujube::entry
