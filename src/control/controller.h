#pragma once

/** \file
 * Defines the controller of a scope, a leader role that one entry holds by lease.
 */

#include "control/usagereporter.h"
#include "entry/fleetview.h"
#include "entry/kvmirror.h"
#include "policy/roleplanner.h"
#include "state/fleetclient.h"
#include "state/leaseholder.h"

#include <map>
#include <set>
#include <string>

namespace jujube::control {

/** Settings of a controller candidate. */
struct ControllerSettings
{
    std::string name; ///< Name of the entry.
    std::string scope;
    uint64_t incarnation = 0;
    core::Milliseconds lease{5'000};
    bool planRoles = true;
};

/** Competes for the controller role of its scope and maintains the plan while it is leader.
 *
 * Losing the lease needs no cooperation of the previous leader: the successor raises the term in
 * the plan, so that every later write of the previous leader fails, and the guarded sends of the
 * previous leader end before its lease does.
 */
class Controller
{
public:
    Controller(wire::IoContext &io, state::KvClient &kv, state::FleetClient &platform,
               entry::KvMirror &mirror, entry::FleetView &fleet, UsageReporter &reporter,
               ControllerSettings settings);

    void start();
    /** Ends the loops and releases the lease. */
    wire::Task<void> stop();

    bool isLeader() const { return m_isLeader && m_lease.held(); }
    uint64_t term() const { return m_plan.term; }

private:
    wire::Task<void> run();
    wire::Task<void> renewLoop();
    wire::Task<bool> tryBecomeLeader();
    wire::Task<void> tick();
    wire::Task<void> refreshLeavingVms();
    void mergeEndpoints(state::Plan &plan);
    std::map<std::string, uint32_t> requiredDomainsByModel() const;
    void planRoles(state::Plan &plan);
    void addRemovalOrders(state::Plan &plan) const;
    wire::Task<bool> writePlan(state::Plan plan);
    wire::Task<void> sendOrders();

    wire::IoContext &m_io;
    state::KvClient &m_kv;
    state::FleetClient &m_platform;
    entry::KvMirror &m_mirror;
    entry::FleetView &m_fleet;
    UsageReporter &m_reporter;
    ControllerSettings m_settings;
    state::LeaseHolder m_lease;
    policy::RolePlanner m_rolePlanner;
    state::Plan m_plan;
    uint64_t m_planRevision = 0;
    std::set<std::string> m_leavingVms;
    std::set<std::string> m_pinnedVms; ///< VMs whose role is fixed by an operator.
    core::TimePoint m_vmsReadAt{};
    bool m_isLeader = false;
    bool m_stopping = false;
    bool m_ended = false;
};

} // namespace jujube::control
