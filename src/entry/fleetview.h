#pragma once

/** \file
 * Defines the set of endpoints that an entry may route requests to.
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

/** Holds links to a bounded number of agents for each model or service.
 *
 * If more agents than the bound serve a model, each entry selects a subset of its own by rendezvous
 * hashing of entry and VM name, spread over all failure domains. The cost of routing and of
 * heartbeats therefore does not grow with the fleet, and a membership change moves few links.
 */
class FleetView
{
public:
    FleetView(wire::IoContext &io, wire::RpcIdentity identity, size_t maxCandidates,
              std::function<wire::PingMessage()> makePing,
              std::function<void(const core::FreshnessToken &)> onFreshnessToken);

    /** Selects among the registered agents, then opens and closes links to match. */
    void setAgents(const std::vector<state::AgentRecord> &agents);
    /** Replaces the set of VMs that are being drained or removed. They get no new work. */
    void setLeavingVms(std::set<std::string> vms) { m_leavingVms = std::move(vms); }

    /** Links to endpoints that serve \a model and are not leaving, whether usable or not. */
    std::vector<std::shared_ptr<AgentLink>> candidates(core::WorkKind kind,
                                                       const std::string &model) const;
    /** All links of this entry. */
    std::vector<std::shared_ptr<AgentLink>> links() const;
    bool isLeaving(const std::string &vm) const { return m_leavingVms.contains(vm); }
    /** Number of registered agents, including those without a link. */
    size_t registeredAgentCount() const { return m_registeredAgentCount; }

private:
    std::vector<state::AgentRecord> selectAgents(std::vector<state::AgentRecord> agents) const;

    wire::IoContext &m_io;
    wire::RpcIdentity m_identity;
    size_t m_maxCandidates;
    std::function<wire::PingMessage()> m_makePing;
    std::function<void(const core::FreshnessToken &)> m_onFreshnessToken;
    std::map<std::string, std::shared_ptr<AgentLink>> m_links;
    std::set<std::string> m_leavingVms;
    size_t m_registeredAgentCount = 0;
};

} // namespace jujube::entry
