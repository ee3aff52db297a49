#pragma once

/** \file
 * Defines an entry's view of the endpoints it may route to.
 */

#include "core/configuration.h"
#include "entry/agentlink.h"
#include "entry/kvmirror.h"
#include "state/plan.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace jujube::entry {

/** Links to a bounded number of agents for each model or service.
 *
 * Where more agents serve a model than the bound, each entry takes its own subset, spread over all
 * failure domains, by a hash of both names: the cost of a decision and of the heartbeats does not
 * grow with the fleet, and a change of membership moves few links.
 */
class FleetView
{
public:
    FleetView(wire::IoContext &io, wire::RpcIdentity identity, size_t maxCandidates,
              std::function<wire::PingMessage()> ping,
              std::function<void(const core::FreshnessToken &)> onEvidence);

    /** Takes the registered agents; opens and closes links to match. */
    void setAgents(const std::vector<state::AgentRecord> &agents);
    /** Takes the newest plan and the operators' intents; their endpoints get no new work. */
    void setLeaving(std::set<std::string> vms) { m_leaving = std::move(vms); }

    /** Links that serve a model or service, usable or not. */
    std::vector<std::shared_ptr<AgentLink>> candidates(core::WorkKind kind,
                                                       const std::string &model) const;
    /** Every link of this entry. */
    std::vector<std::shared_ptr<AgentLink>> links() const;
    bool leaving(const std::string &vm) const { return m_leaving.contains(vm); }
    size_t knownAgents() const { return m_known; }

private:
    std::vector<state::AgentRecord> selectAgents(std::vector<state::AgentRecord> agents) const;

    wire::IoContext &m_io;
    wire::RpcIdentity m_identity;
    size_t m_maxCandidates;
    std::function<wire::PingMessage()> m_ping;
    std::function<void(const core::FreshnessToken &)> m_onEvidence;
    std::map<std::string, std::shared_ptr<AgentLink>> m_links;
    std::set<std::string> m_leaving;
    size_t m_known = 0;
};

} // namespace jujube::entry
