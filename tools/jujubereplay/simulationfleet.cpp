/** \file
 * The part of a replay that changes the fleet: roles of engines, crashes, drains.
 */

#include "core/text.h"
#include "jujubereplay/simulationrun.h"

namespace jujube::replay {

void Simulation::noteRoles()
{
    if (m_now >= static_cast<double>(m_workload.length.count())
        || m_now < static_cast<double>(PlotInterval.count())
                * static_cast<double>(m_result.intervals.size()))
        return;
    IntervalState interval;
    interval.at = core::Milliseconds(static_cast<int64_t>(m_now));
    for (const auto &it : m_endpoints) {
        interval.prefillEngines += it->engine.role() == core::Role::Prefill ? 1 : 0;
        interval.decodeEngines += it->engine.role() == core::Role::Decode ? 1 : 0;
    }
    m_result.intervals.push_back(interval);
}

void Simulation::planRoles()
{
    std::visit(Overloaded{[](StaticRoles) {}, [](AllMixed) {},
                          [this](const ThresholdRoles &it) { thresholdRoles(it); },
                          [this](const PlannedRoles &) { plannedRoles(); }},
               m_policy.roles);
}

policy::RoleView Simulation::roleView(size_t index) const
{
    const Endpoint &it = *m_endpoints[index];
    core::LoadReport load;
    it.dispatcher.fillReport(load, virtualTime(m_now));
    policy::RoleView view;
    view.vm = it.vm;
    view.domain = it.domain;
    view.model = "m";
    view.role = it.wanted.value_or(it.engine.role());
    view.available = it.open();
    view.queuedTokens = load.queuedPrefillTokens;
    view.outstandingOutput = load.outstandingOutputTokens;
    view.running = load.running;
    view.queuedRequests = load.queuedRequests;
    view.slots = it.engine.speed().slots;
    view.prefillRate = load.prefillTokensPerSecond;
    view.decodeRate = load.decodeTokensPerSecond;
    return view;
}

void Simulation::plannedRoles()
{
    std::vector<policy::RoleView> views;
    for (size_t i = 0; i < m_endpoints.size(); ++i) {
        if (!m_endpoints[i]->gone && !m_endpoints[i]->draining)
            views.push_back(roleView(i));
    }
    const auto change = m_planner->plan(views, virtualTime(m_now));
    if (!change)
        return;
    for (size_t i = 0; i < m_endpoints.size(); ++i) {
        if (m_endpoints[i]->vm == change->vm)
            orderRole(i, change->role);
    }
}

void Simulation::thresholdRoles(const ThresholdRoles &settings)
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
    const core::Role wanted = wantsPrefill ? core::Role::Prefill : core::Role::Decode;
    for (size_t i = 0; i < m_endpoints.size(); ++i) {
        if (m_endpoints[i]->open() && m_endpoints[i]->engine.role() != wanted) {
            orderRole(i, wanted);
            return;
        }
    }
}

void Simulation::orderRole(size_t index, core::Role role)
{
    m_endpoints[index]->wanted = role;
    changeRoleWhenIdle(index);
}

void Simulation::changeRoleWhenIdle(size_t index)
{
    Endpoint &endpoint = *m_endpoints[index];
    const bool idle = endpoint.dispatcher.running() == 0 && endpoint.dispatcher.queueEmpty();
    if (!endpoint.wanted || !idle || endpoint.changing || !endpoint.up)
        return;
    endpoint.changing = true;
    ++endpoint.epoch;
    endpoint.stepping = false;
    ++m_result.roleChanges;
    push(m_now + static_cast<double>(endpoint.engine.speed().roleChange.count()),
         Event::Kind::RoleDone, index, endpoint.epoch);
}

void Simulation::roleDone(size_t index, uint64_t epoch)
{
    Endpoint &endpoint = *m_endpoints[index];
    if (epoch != endpoint.epoch)
        return;
    endpoint.changing = false;
    endpoint.engine.setRole(*endpoint.wanted);
    endpoint.wanted.reset();
    endpoint.dispatcher.engineChanged();
}

void Simulation::fleetEvent(size_t index)
{
    const FleetEvent &event = m_workload.events[index];
    Endpoint &endpoint = *m_endpoints[event.engine];
    if (event.kind == FleetEvent::Kind::Crash) {
        crash(event.engine);
    } else {
        endpoint.draining = true;
        endpoint.gone = event.kind == FleetEvent::Kind::Withdraw;
    }
    if (event.length.count() > 0)
        push(m_now + static_cast<double>(event.length.count()), Event::Kind::FleetEnd, index);
}

// The entries notice and run the cut requests elsewhere, from the tokens they already have.
void Simulation::crash(size_t index)
{
    Endpoint &endpoint = *m_endpoints[index];
    endpoint.up = false;
    endpoint.stepping = false;
    ++endpoint.epoch;
    for (const size_t request : endpoint.engine.cutAll()) {
        endpoint.dispatcher.noteEnd(core::concat(request), false, virtualTime(m_now));
        m_states[request].refusedBy.insert(index);
        route(request);
    }
    endpoint.engine.setRole(core::Role::Mixed);
    endpoint.wanted.reset();
    endpoint.changing = false;
    endpoint.dispatcher.engineChanged();
}

void Simulation::fleetEventEnds(size_t index)
{
    Endpoint &endpoint = *m_endpoints[m_workload.events[index].engine];
    endpoint.up = true;
    endpoint.draining = false;
    pump(m_workload.events[index].engine);
}

} // namespace jujube::replay
