#pragma once

/** \file
 * Defines the part of an agent that carries out the plan's orders on its engine.
 */

#include "agent/endpointgate.h"
#include "agent/engineclient.h"
#include "state/leaseholder.h"
#include "state/plan.h"

#include <string>

namespace jujube::agent {

/** Who this agent is towards the plan. */
struct FollowerIdentity
{
    std::string vm;
    std::string scope;
    uint64_t incarnation = 0;
    bool hasEngine = true; ///< Services take no engine orders; drains apply to them too.
};

/** Carries out the wanted state of one endpoint, one order at a time and never going back.
 *
 * Orders are read from the plan in the KV only. What other processes send are hints to read it
 * sooner. Before an order leaves, the agent takes the endpoint's order lock, reads plan and
 * registry again, and sends under the lock's remaining time (see GuardedSocket). An agent that was
 * replaced, or that was paused meanwhile, therefore sends nothing.
 */
class PlanFollower
{
public:
    PlanFollower(wire::IoContext &io, state::KvClient &kv, EngineClient &engine, EndpointGate &gate,
                 FollowerIdentity identity);

    /** Starts following; runs until stop(). */
    void start();
    void stop() { m_stopping = true; }
    /** Notes that a plan with this number exists. */
    void hintPlanNumber(state::OrderNumber number);

private:
    wire::Task<void> followPlanLoop();
    wire::Task<void> pollEngineLoop();
    wire::Task<void> readPlan();
    wire::Task<void> applyDesiredState();
    wire::Task<bool> changeRole(state::EndpointPlan desired);
    wire::Task<bool> waitForRole(core::Role role, state::LeaseHolder &lock);
    wire::Task<bool> isOrderCurrent(state::EndpointPlan desired);
    wire::Task<void> waitUntilIdle();

    wire::IoContext &m_io;
    state::KvClient &m_kv;
    EngineClient &m_engine;
    EndpointGate &m_gate;
    FollowerIdentity m_identity;
    state::OrderNumber m_hintedNumber;
    state::OrderNumber m_planNumber;    ///< Number of the plan that was read last.
    state::EndpointPlan m_desiredState; ///< Wanted state of this endpoint in that plan.
    bool m_hasDesiredState = false;
    state::OrderNumber m_appliedNumber;
    core::TimePoint m_planReadAt{};
    EngineState m_engineState;
    bool m_engineKnown = false;
    bool m_stopping = false;
};

} // namespace jujube::agent
