/** \file
 * The part of the simulation that changes the fleet: role changes, crashes, drains, withdrawals.
 */

#include "core/text.h"
#include "jujubereplay/simulationrun.h"

namespace jujube::replay {

void Simulation::recordInterval()
{
    if (m_nowMs >= static_cast<double>(m_workload.duration.count())
        || m_nowMs < static_cast<double>(PlotInterval.count())
                * static_cast<double>(m_result.intervals.size()))
        return;
    IntervalState interval;
    interval.at = core::Milliseconds(static_cast<int64_t>(m_nowMs));
    for (const auto &it : m_endpoints) {
        interval.prefillEngines += it->engine.role() == core::Role::Prefill ? 1 : 0;
        interval.decodeEngines += it->engine.role() == core::Role::Decode ? 1 : 0;
    }
    m_result.intervals.push_back(interval);
}

void Simulation::updateRoles()
{
    std::visit(Overloaded{[](StaticRoles) {}, [](AllMixed) {},
                          [this](const ThresholdRoles &it) { applyThresholdRoles(it); },
                          [this](const PlannedRoles &) { applyPlannedRoles(); }},
               m_policy.roles);
}

policy::RoleView Simulation::roleView(size_t index) const
{
    const Endpoint &it = *m_endpoints[index];
    core::LoadReport load;
    it.dispatcher.fillReport(load, virtualTime(m_nowMs));
    policy::RoleView view;
    view.vm = it.vm;
    view.domain = it.domain;
    view.model = "m";
    view.role = it.targetRole.value_or(it.engine.role());
    view.available = it.acceptsRequests();
    view.queuedTokens = load.queuedPrefillTokens;
    view.outstandingOutput = load.outstandingOutputTokens;
    view.running = load.running;
    view.queuedRequests = load.queuedRequests;
    view.slots = it.engine.parameters().slots;
    view.prefillRate = load.prefillTokensPerSecond;
    view.decodeRate = load.decodeTokensPerSecond;
    return view;
}

void Simulation::applyPlannedRoles()
{
    std::vector<policy::RoleView> views;
    for (size_t i = 0; i < m_endpoints.size(); ++i) {
        if (!m_endpoints[i]->withdrawn && !m_endpoints[i]->draining)
            views.push_back(roleView(i));
    }
    const auto change = m_planner->plan(views, virtualTime(m_nowMs));
    if (!change)
        return;
    for (size_t i = 0; i < m_endpoints.size(); ++i) {
        if (m_endpoints[i]->vm == change->vm)
            orderRole(i, change->role);
    }
}

void Simulation::applyThresholdRoles(const ThresholdRoles &settings)
{
    double prefill = 0;
    double decode = 0;
    for (size_t i = 0; i < m_endpoints.size(); ++i) {
        const policy::RoleView view = roleView(i);
        if (view.prefillRate <= 0 || view.decodeRate <= 0)
            continue;
        prefill += static_cast<double>(view.queuedTokens) / view.prefillRate;
        decode += static_cast<double>(view.outstandingOutput) / (view.decodeRate * view.slots);
    }
    const bool wantsPrefill = prefill > decode * settings.factor;
    const bool wantsDecode = decode > prefill * settings.factor;
    if (!wantsPrefill && !wantsDecode)
        return;
    const core::Role targetRole = wantsPrefill ? core::Role::Prefill : core::Role::Decode;
    for (size_t i = 0; i < m_endpoints.size(); ++i) {
        if (m_endpoints[i]->acceptsRequests() && m_endpoints[i]->engine.role() != targetRole) {
            orderRole(i, targetRole);
            return;
        }
    }
}

void Simulation::orderRole(size_t index, core::Role role)
{
    m_endpoints[index]->targetRole = role;
    changeRoleWhenIdle(index);
}

void Simulation::changeRoleWhenIdle(size_t index)
{
    Endpoint &endpoint = *m_endpoints[index];
    const bool idle = endpoint.dispatcher.running() == 0 && endpoint.dispatcher.queueEmpty();
    if (!endpoint.targetRole || !idle || endpoint.changingRole || !endpoint.up)
        return;
    endpoint.changingRole = true;
    ++endpoint.epoch;
    endpoint.stepScheduled = false;
    ++m_result.roleChanges;
    schedule(m_nowMs + static_cast<double>(endpoint.engine.parameters().roleChangeTime.count()),
             Event::Kind::RoleChangeDone, index, endpoint.epoch);
}

void Simulation::finishRoleChange(size_t index, uint64_t epoch)
{
    Endpoint &endpoint = *m_endpoints[index];
    if (epoch != endpoint.epoch)
        return;
    endpoint.changingRole = false;
    endpoint.engine.setRole(*endpoint.targetRole);
    endpoint.targetRole.reset();
    endpoint.dispatcher.engineChanged();
}

void Simulation::startFleetEvent(size_t index)
{
    const FleetEvent &event = m_workload.events[index];
    Endpoint &endpoint = *m_endpoints[event.engine];
    if (event.kind == FleetEvent::Kind::Crash) {
        crashEngine(event.engine);
    } else {
        endpoint.draining = true;
        endpoint.withdrawn = event.kind == FleetEvent::Kind::Withdraw;
    }
    if (event.duration.count() > 0)
        schedule(m_nowMs + static_cast<double>(event.duration.count()), Event::Kind::FleetEventEnd,
                 index);
}

// The entries retry the aborted requests on other endpoints. Tokens that have been produced still
// count: the request keeps the time of its first token.
void Simulation::crashEngine(size_t index)
{
    Endpoint &endpoint = *m_endpoints[index];
    endpoint.up = false;
    endpoint.stepScheduled = false;
    ++endpoint.epoch;
    for (const size_t request : endpoint.engine.abortAllJobs()) {
        endpoint.dispatcher.noteEnd(core::concat(request), false, virtualTime(m_nowMs));
        m_states[request].excludedEndpoints.insert(index);
        route(request);
    }
    endpoint.engine.setRole(core::Role::Mixed);
    endpoint.targetRole.reset();
    endpoint.changingRole = false;
    endpoint.dispatcher.engineChanged();
}

void Simulation::endFleetEvent(size_t index)
{
    Endpoint &endpoint = *m_endpoints[m_workload.events[index].engine];
    endpoint.up = true;
    endpoint.draining = false;
    startQueuedRequests(m_workload.events[index].engine);
}

} // namespace jujube::replay
